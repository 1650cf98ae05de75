#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mustardcourse::serving {

/** Size of one record in a shard's answer. */
constexpr std::size_t recordBytes = 16;

/**
    Returns the greatest records of all bodies in descending order, compared byte by byte.

    Duplicates are kept. A remainder of a body that is shorter than a record is ignored.

    @param count  maximum number of records to return
*/
std::string greatestRecords(const std::vector<std::string_view> &bodies, std::size_t count);

} // namespace mustardcourse::serving
