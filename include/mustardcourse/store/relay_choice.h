#pragma once

#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/core/ids.h>

#include <map>
#include <optional>
#include <string>

namespace mustardcourse::store {

/** The content of a host's membership key in the store. */
struct member_entry
{
    data_centre_id dataCentre;
    /** Address at which the host can relay changes of the store; nothing if it cannot. */
    std::optional<endpoint> relay;

    friend bool operator==(const member_entry &, const member_entry &) = default;
};

/** Encodes an entry: the data centre, then a space and the relay address if there is one. */
std::string encodeMember(const member_entry &entry);

/** Decodes an entry; an unreadable relay address is treated as absent. */
member_entry decodeMember(const std::string &text);

/** Members by host name. */
using member_entries = std::map<std::string, member_entry>;

/**
    Returns the host that relays changes of the store to the others of a data centre.

    Uses rendezvous hashing: all hosts that see the same members choose the same relay, and a host
    that joins or leaves changes the choice only if it becomes or was the relay.

    @returns nothing if the data centre has too few members with a relay address for a relay to save
             calls to the store
*/
std::optional<std::string> chooseRelay(const member_entries &members,
                                       const data_centre_id &dataCentre);

} // namespace mustardcourse::store
