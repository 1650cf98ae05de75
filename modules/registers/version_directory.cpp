#include <mustardcourse/registers/version_directory.h>

#include <algorithm>
#include <set>

namespace mustardcourse::registers {

void version_directory::setHeldVersions(const target_id &target,
                                        std::vector<index_version> versions)
{
    m_heldVersions.insert_or_assign(target, std::move(versions));
}

void version_directory::removeEmpty()
{
    std::erase_if(m_heldVersions, [](const auto &entry) { return entry.second.empty(); });
}

bool version_directory::hasReport(const target_id &target) const
{
    return m_heldVersions.contains(target);
}

bool version_directory::holds(const target_id &target, index_version version) const
{
    const auto found = m_heldVersions.find(target);
    if (found == m_heldVersions.end())
        return false;
    return std::find(found->second.begin(), found->second.end(), version) != found->second.end();
}

std::size_t version_directory::countShardsWith(const shard_map &map, index_version version) const
{
    std::size_t count = 0;
    for (std::uint32_t index = 0; index < map.shardCount(); ++index) {
        const auto &replicas = map.at(shard_index(index)).replicas;
        const bool isHeld =
            std::any_of(replicas.begin(), replicas.end(),
                        [&](const replica &holder) { return holds(holder.target, version); });
        count += isHeld ? 1 : 0;
    }
    return count;
}

index_version version_directory::choose(const shard_map &map) const
{
    std::set<index_version> candidates;
    for (const replica &holder : map.targets()) {
        const auto found = m_heldVersions.find(holder.target);
        if (found != m_heldVersions.end())
            candidates.insert(found->second.begin(), found->second.end());
    }

    index_version best;
    std::size_t bestShardCount = 0;
    for (auto candidate = candidates.rbegin(); candidate != candidates.rend(); ++candidate) {
        const std::size_t shardCount = countShardsWith(map, *candidate);
        if (shardCount == map.shardCount())
            return *candidate;
        if (shardCount > bestShardCount) {
            best = *candidate;
            bestShardCount = shardCount;
        }
    }
    return best;
}

} // namespace mustardcourse::registers
