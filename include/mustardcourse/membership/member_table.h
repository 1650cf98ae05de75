#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/core/ids.h>

#include <map>
#include <random>
#include <string_view>
#include <vector>

namespace mustardcourse::membership {

/** What is believed of a member. */
enum class member_state { Alive, Leaving, Failed };

/** Returns the lower-case name of a state. */
std::string_view nameOf(member_state state);

/** What one member tells the others about itself or passes on. */
struct member_record
{
    host_id host;
    data_centre_id dataCentre;
    endpoint peerAddress;
    incarnation incarnationNumber;
    /** Counter that the member alone increases, so that a fresh record is told from an old one. */
    std::uint64_t heartbeat = 0;
    member_state state = member_state::Alive;
};

/** Times after which a silent member is given up. */
struct member_timeouts
{
    /** A member without a new heartbeat for this long counts as failed. */
    duration failAfter = std::chrono::seconds(3);
    /** A failed member is forgotten after this long, unless it comes back before. */
    duration forgetAfter = std::chrono::minutes(2);
};

/**
    The members of the tier as one host sees them, kept by gossip with heartbeat counters.

    It does no I/O. Call tick() before each exchange, send records() to a peer and pass what comes
    back to merge(). Views of different hosts differ for a while; nothing that must hold may rest
    on their agreement.

    The method is the gossip-style failure detection of van Renesse, Minsky and Hayden (1998).
*/
class member_table
{
public:
    member_table(member_record self, member_timeouts timeouts);

    /** Increases the own heartbeat and gives up members that have been silent for too long. */
    void tick(time_point now);

    /** Takes in the records of a peer. */
    void merge(const std::vector<member_record> &records, time_point now);

    /** Announces in all later records that this host is leaving. */
    void leave();

    /** Returns own and known records, at most so many; the own one is always first. */
    [[nodiscard]] std::vector<member_record> records(std::size_t most,
                                                     std::mt19937_64 &random) const;

    /** Returns the record of this host. */
    [[nodiscard]] const member_record &self() const noexcept { return m_self; }

    /** Returns the members that take new work, this host among them unless it is leaving. */
    [[nodiscard]] std::vector<member_record> serving() const;

    /** Returns all known members, this host first. */
    [[nodiscard]] std::vector<member_record> all() const;

    /** Returns the addresses of other members that have not failed. */
    [[nodiscard]] std::vector<endpoint> peers() const;

private:
    struct known_member
    {
        member_record record;
        time_point lastHeard;
    };

    void mergeOne(const member_record &record, time_point now);
    void dropReplaced(const member_record &successor);

    member_record m_self;
    member_timeouts m_timeouts;
    std::map<host_id, known_member> m_others;
};

} // namespace mustardcourse::membership
