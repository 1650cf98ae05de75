#pragma once

#include <mustardcourse/core/strong_value.h>

#include <cstddef>

namespace mustardcourse {

/** An amount of memory in bytes. */
using memory_size = strong_value<struct memory_size_tag, std::size_t>;

/** Returns an amount of memory of some megabytes. */
constexpr memory_size megabytes(std::size_t count)
{
    return memory_size(count * 1024 * 1024);
}

} // namespace mustardcourse
