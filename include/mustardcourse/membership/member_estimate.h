#pragma once

#include <mustardcourse/core/clock.h>

#include <algorithm>
#include <deque>

namespace mustardcourse::membership {

/** What a host assumes of the number of hosts while its member list may be incomplete. */
struct member_assumptions
{
    /** Lower bound of the estimate during the first window. Too high a count only makes this host's
        shares of the common limits smaller. */
    std::size_t minimumCount = 8;
    /** Time within which every live host appears in the list: the lifetime of a lease and the time
        of a renewal. */
    duration window = std::chrono::seconds(16);
    /** Time after the start of this host within which hosts that start at the same time, or whose
        keys a restored store has lost, write their keys. */
    duration joinTime = std::chrono::milliseconds(2500);
    /** Number of hosts of the largest deployment. */
    std::size_t maximumCount = 2000;
};

/**
    Estimates the number of hosts among which shared limits are divided.

    Hosts that have just started, or whose leases expired while the store was unreachable, are not
    counted yet but already use their shares. The estimate is therefore the maximum count of a
    sliding window, and at least a configured minimum during the first window after this host
    starts.
*/
class member_estimate
{
public:
    explicit member_estimate(const clock &clock, const member_assumptions &assumptions = {})
        : m_clock(clock)
        , m_assumptions(assumptions)
        , m_startedAt(clock.now())
        , m_counts{{m_startedAt, std::max<std::size_t>(assumptions.minimumCount, 1)}}
    { }

    /** Records the number of hosts that are currently listed. */
    void observe(std::size_t count) { m_counts.push_back({m_clock.now(), count}); }

    /** Returns the estimated number of hosts; at least one. */
    [[nodiscard]] std::size_t value()
    {
        const time_point windowStart = m_clock.now() - m_assumptions.window;
        // A count holds until the next one, so the one that began before the window still applies.
        while (m_counts.size() > 1 && m_counts[1].since < windowStart)
            m_counts.pop_front();
        std::size_t maximum = 1;
        for (const count_observation &observation : m_counts)
            maximum = std::max(maximum, observation.count);
        return maximum;
    }

    /**
        Returns the number of hosts among which rates are divided.

        A rate that is exceeded even for a second does harm, so a host that cannot know the others
        yet takes almost no share.
    */
    [[nodiscard]] std::size_t valueForRates()
    {
        const bool mayMissHosts = m_clock.now() - m_startedAt < m_assumptions.joinTime;
        return mayMissHosts ? std::max(value(), m_assumptions.maximumCount) : value();
    }

private:
    struct count_observation
    {
        time_point since;
        std::size_t count;
    };

    const clock &m_clock;
    member_assumptions m_assumptions;
    time_point m_startedAt;
    std::deque<count_observation> m_counts;
};

} // namespace mustardcourse::membership
