#pragma once

#include <mustardcourse/core/core_share.h>
#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/core/ids.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardcourse::store {

/** The content of a host's membership key in the store. */
struct member_entry
{
    data_centre_id dataCentre;
    /** Address at which the host accepts requests of other hosts: for changes of the store and
        for parts of lookups; nothing if it does not. */
    std::optional<endpoint> relay;
    /** What it may use of a processor; zero if it doesn't tell. */
    core_share cores{0};

    friend bool operator==(const member_entry &, const member_entry &) = default;
};

/** Encodes an entry: the data centre, the relay address if there is one, and then the cores if they
    are known, separated by spaces. */
std::string encodeMember(const member_entry &entry);

/** Decodes an entry; an unreadable relay address or number of cores is treated as absent. */
member_entry decodeMember(const std::string &text);

/** Members by host name. */
using member_entries = std::map<std::string, member_entry>;

/** Number of hosts that are prepared to be the relay of their data centre. */
constexpr std::size_t preparedRelays = 2;

/**
    Returns the hosts of a data centre that can relay changes of the store to the others, the
    preferred one first.

    The strongest hosts gather lookups for others, and what a relay sends at once delays all else on
    its link, so they are chosen only if there are too few others. Rendezvous hashing makes all
    hosts that see the same members choose the same relay, and a host that joins or leaves changes
    the choice only if it becomes or was the relay.

    @returns none if the data centre has too few members with a relay address for a relay to save
             calls to the store
*/
std::vector<std::string> rankRelays(const member_entries &members,
                                    const data_centre_id &dataCentre);

} // namespace mustardcourse::store
