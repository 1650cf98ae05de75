#include <mustardcourse/core/hash.h>

#include <xxhash.h>

namespace mustardcourse {

std::uint64_t stableHash(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

} // namespace mustardcourse
