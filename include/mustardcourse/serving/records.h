#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mustardcourse::serving {

/** Bytes of one record of a shard's answer. */
constexpr std::size_t recordBytes = 16;

/**
    Returns the greatest records of all bodies, greatest first, compared byte by byte.

    Equal records all count. A remainder shorter than a record is dropped.
*/
std::string greatestRecords(const std::vector<std::string_view> &bodies, std::size_t count);

} // namespace mustardcourse::serving
