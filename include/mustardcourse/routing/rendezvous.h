#pragma once

#include <mustardcourse/membership/member_table.h>
#include <mustardcourse/registers/shard_map.h>

#include <optional>
#include <vector>

namespace mustardcourse::routing {

/**
    Returns the home of a target: the only member that holds connections and permits for it.

    The home is a member in the target's data centre; members in other data centres are considered
    only if there is none. A member that joins or leaves changes the homes of only those targets
    that it gains or loses (rendezvous hashing, Thaler and Ravishankar 1998).

    @returns std::nullopt if there are no members
*/
std::optional<membership::member_record>
homeOf(const registers::replica &target,
       const std::vector<membership::member_record> &servingMembers);

/** Returns the members in order of preference for a key: by decreasing rendezvous weight. */
std::vector<membership::member_record> rankMembers(std::string_view key,
                                                   std::vector<membership::member_record> members);

} // namespace mustardcourse::routing
