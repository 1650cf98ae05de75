#pragma once

#include <mustardcourse/registers/version_directory.h>

#include <functional>
#include <optional>
#include <set>

namespace mustardcourse::routing {

/** Data centres and targets that a lookup must not use for one shard. */
struct replica_filter
{
    /** Data centres that receive no new requests. */
    const std::set<data_centre_id> &evacuatedDataCentres;
    /** Targets that have reported that they are leaving. */
    const std::set<registers::target_id> &leavingTargets;
    /** Targets to which the lookup has already sent a request for this shard. */
    const std::set<registers::target_id> &triedTargets;
};

/**
    Chooses the replica to which a lookup sends its request for one shard.

    Only replicas that pass the filter are considered. Those that have reported the pinned version
    are preferred, then those in the local data centre; the seed spreads the load among equals.

    @returns std::nullopt if no replica passes the filter
*/
std::optional<registers::replica>
chooseReplica(const registers::shard &shard, index_version pinnedVersion,
              const registers::version_directory &directory, const replica_filter &filter,
              const data_centre_id &localDataCentre, std::uint64_t seed);

} // namespace mustardcourse::routing
