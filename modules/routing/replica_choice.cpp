#include <mustardcourse/core/hash.h>
#include <mustardcourse/routing/replica_choice.h>

#include <tuple>

namespace mustardcourse::routing {

std::optional<registers::replica>
chooseReplica(const registers::shard &shard, index_version pinnedVersion,
              const registers::version_directory &directory, const replica_filter &filter,
              const data_centre_id &localDataCentre, std::uint64_t seed)
{
    using rank = std::tuple<bool, bool, std::uint64_t>;

    const registers::replica *best = nullptr;
    rank bestRank;
    for (const registers::replica &replica : shard.replicas) {
        if (filter.evacuatedDataCentres.contains(replica.dataCentre))
            continue;
        if (filter.leavingTargets.contains(replica.target)
            || filter.triedTargets.contains(replica.target))
            continue;
        const rank candidate{directory.holds(replica.target, pinnedVersion),
                             replica.dataCentre == localDataCentre,
                             stableHash(replica.target.toString(), seed)};
        if (best == nullptr || candidate > bestRank) {
            best = &replica;
            bestRank = candidate;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return *best;
}

} // namespace mustardcourse::routing
