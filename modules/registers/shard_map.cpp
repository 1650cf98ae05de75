#include <mustardcourse/core/hash.h>
#include <mustardcourse/registers/shard_map.h>

#include <algorithm>
#include <cassert>

namespace mustardcourse::registers {

shard_map::shard_map(service_id service, team_id team, revision settingsRevision,
                     std::vector<shard> shards, target_capacity capacity)
    : m_service(std::move(service))
    , m_team(std::move(team))
    , m_settingsRevision(settingsRevision)
    , m_shards(std::move(shards))
    , m_capacity(capacity)
{
    assert(!m_shards.empty());
}

const shard &shard_map::at(shard_index index) const
{
    assert(index.value() < m_shards.size());
    return m_shards[index.value()];
}

std::vector<replica> shard_map::targets() const
{
    std::vector<replica> all;
    for (const shard &mappedShard : m_shards)
        all.insert(all.end(), mappedShard.replicas.begin(), mappedShard.replicas.end());
    const auto byTarget = [](const replica &left, const replica &right) {
        return left.target < right.target;
    };
    std::sort(all.begin(), all.end(), byTarget);
    const auto isSame = [](const replica &left, const replica &right) {
        return left.target == right.target;
    };
    all.erase(std::unique(all.begin(), all.end(), isSame), all.end());
    return all;
}

shard_index shard_map::shardOf(std::string_view key) const
{
    return shard_index(static_cast<std::uint32_t>(stableHash(key) % m_shards.size()));
}

} // namespace mustardcourse::registers
