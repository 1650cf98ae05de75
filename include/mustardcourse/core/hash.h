#pragma once

#include <cstdint>
#include <string_view>

namespace mustardcourse {

/** Returns a hash that is the same on every host and in every release (XXH3, 64 bits). */
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

} // namespace mustardcourse
