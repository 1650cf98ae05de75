#include <mustardcourse/core/hash.h>
#include <mustardcourse/routing/rendezvous.h>

#include <algorithm>

namespace mustardcourse::routing {

namespace {

using membership::member_record;

std::uint64_t weightOf(std::uint64_t keyHash, const member_record &member)
{
    return stableHash(member.host.value(), keyHash);
}

const member_record *findHeaviest(std::uint64_t keyHash, const std::vector<member_record> &members,
                                  const data_centre_id *dataCentre)
{
    const member_record *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const member_record &member : members) {
        if (dataCentre != nullptr && member.dataCentre != *dataCentre)
            continue;
        const std::uint64_t weight = weightOf(keyHash, member);
        if (best == nullptr || weight > bestWeight) {
            best = &member;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace

std::optional<member_record> homeOf(const registers::replica &target,
                                    const std::vector<member_record> &servingMembers)
{
    const std::uint64_t keyHash = stableHash(target.target.toString());
    const member_record *best = findHeaviest(keyHash, servingMembers, &target.dataCentre);
    if (best == nullptr)
        best = findHeaviest(keyHash, servingMembers, nullptr);
    if (best == nullptr)
        return std::nullopt;
    return *best;
}

std::vector<member_record> rankMembers(std::string_view key, std::vector<member_record> members)
{
    const std::uint64_t keyHash = stableHash(key);
    std::sort(members.begin(), members.end(),
              [&](const member_record &left, const member_record &right) {
                  return weightOf(keyHash, left) > weightOf(keyHash, right);
              });
    return members;
}

} // namespace mustardcourse::routing
