#pragma once

#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/core/ids.h>

#include <map>
#include <optional>
#include <string>

namespace mustardcourse::store {

/** What a host tells of itself in its key in the store. */
struct member_entry
{
    data_centre_id dataCentre;
    /** Where it passes changes of the store on; nothing if it does not. */
    std::optional<endpoint> relay;

    friend bool operator==(const member_entry &, const member_entry &) = default;
};

/** Returns the text of an entry: the data centre, and the address behind a space. */
std::string encodeMember(const member_entry &entry);

/** Reads an entry. What cannot be read counts as a member without a data centre or address. */
member_entry decodeMember(const std::string &text);

/** The members by the name of their host. */
using member_entries = std::map<std::string, member_entry>;

/**
    Returns the host that passes changes of the store on to the others of a data centre.

    All hosts that see the same members choose the same one (rendezvous hashing), and a host that
    joins or leaves changes the choice only if it is that one.

    @returns nothing where there are so few members that each may as well ask the store itself
*/
std::optional<std::string> chooseRelay(const member_entries &members,
                                       const data_centre_id &dataCentre);

} // namespace mustardcourse::store
