#pragma once

#include <malloc.h>

#include <cstddef>

namespace mustardcourse::tests {

/** Returns the memory that is allocated now; zero in a sanitized build, whose allocator counts
    differently. */
inline std::size_t allocatedBytes()
{
    const struct mallinfo2 info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace mustardcourse::tests
