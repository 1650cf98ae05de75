#pragma once

#include <mustardcourse/core/clock.h>

#include <algorithm>
#include <deque>

namespace mustardcourse::membership {

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
    /**
        @param minimumCount  lower bound of the estimate during the first window
        @param window        duration within which every live host appears in the member list
    */
    member_estimate(const clock &clock, std::size_t minimumCount, duration window)
        : m_clock(clock)
        , m_window(window)
        , m_counts{{clock.now(), std::max<std::size_t>(minimumCount, 1)}}
    { }

    /** Records the number of hosts that are currently listed. */
    void observe(std::size_t count) { m_counts.push_back({m_clock.now(), count}); }

    /** Returns the estimated number of hosts; at least one. */
    [[nodiscard]] std::size_t value()
    {
        const time_point windowStart = m_clock.now() - m_window;
        // A count holds until the next one, so the one that began before the window still applies.
        while (m_counts.size() > 1 && m_counts[1].since < windowStart)
            m_counts.pop_front();
        std::size_t maximum = 1;
        for (const count_observation &observation : m_counts)
            maximum = std::max(maximum, observation.count);
        return maximum;
    }

private:
    struct count_observation
    {
        time_point since;
        std::size_t count;
    };

    const clock &m_clock;
    duration m_window;
    std::deque<count_observation> m_counts;
};

} // namespace mustardcourse::membership
