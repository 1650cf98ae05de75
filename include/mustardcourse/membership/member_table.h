#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/core/ids.h>

#include <map>
#include <random>
#include <string_view>
#include <vector>

namespace mustardcourse::membership {

/** State of a member as this host sees it. */
enum class member_state { Alive, Leaving, Failed };

/** Returns the lower-case name of a state. */
std::string_view nameOf(member_state state);

/** Gossip record of a member, sent by the member itself or forwarded by another one. */
struct member_record
{
    host_id host;
    data_centre_id dataCentre;
    endpoint peerAddress;
    incarnation incarnationNumber;
    /** Increased only by the member itself; distinguishes newer records from older ones. */
    std::uint64_t heartbeat = 0;
    member_state state = member_state::Alive;
};

/** Time-outs of the failure detection. */
struct member_timeouts
{
    /** Time without a new heartbeat after which a member counts as failed. */
    duration failAfter = std::chrono::seconds(3);
    /** Further time without a heartbeat after which a failed member is removed. */
    duration forgetAfter = std::chrono::minutes(2);
};

/**
    The members of the tier as one host sees them, maintained by gossip with heartbeat counters.

    Performs no I/O. Call tick() before each exchange, send records() to a peer and pass the peer's
    records to merge(). The views of different hosts converge only eventually, so no guarantee may
    depend on their agreement.

    Implements the gossip-style failure detection of van Renesse, Minsky and Hayden (1998).
*/
class member_table
{
public:
    member_table(member_record self, member_timeouts timeouts);

    /** Increases this host's heartbeat, marks members without a recent heartbeat as failed and
        removes those that failed long ago. */
    void tick(time_point now);

    /** Merges the records of a peer into this table. */
    void merge(const std::vector<member_record> &records, time_point now);

    /** Marks this host as leaving in all subsequent records. */
    void leave();

    /** Returns this host's record followed by a random selection of the others that have not
        failed, at most maximumCount records in all. */
    [[nodiscard]] std::vector<member_record> records(std::size_t maximumCount,
                                                     std::mt19937_64 &random) const;

    [[nodiscard]] const member_record &self() const noexcept { return m_self; }

    /** Returns the members that accept new work, including this host unless it is leaving. */
    [[nodiscard]] std::vector<member_record> serving() const;

    /** Returns all members, this host first. */
    [[nodiscard]] std::vector<member_record> all() const;

    /** Returns the addresses of other members that have not failed. */
    [[nodiscard]] std::vector<endpoint> peers() const;

private:
    struct observed_member
    {
        member_record record;
        time_point lastHeartbeatTime;
    };

    void mergeRecord(const member_record &record, time_point now);
    void removeReplaced(const member_record &successor);

    member_record m_self;
    member_timeouts m_timeouts;
    std::map<host_id, observed_member> m_others;
};

} // namespace mustardcourse::membership
