#pragma once

#include <mustardcourse/core/clock.h>

#include <algorithm>
#include <deque>

namespace mustardcourse::membership {

/**
    The number of hosts among which a host divides shared limits.

    Hosts that have just started, or whose leases lapsed while the store was away, are not counted
    yet but already use their shares. So the greatest count of a recent window is taken, and a floor
    for as long as this host itself has just started.
*/
class member_estimate
{
public:
    /**
        @param floor   hosts that are assumed at least during the first window
        @param window  time in which every live host shows itself
    */
    member_estimate(const clock &clock, std::size_t floor, duration window)
        : m_clock(clock)
        , m_window(window)
        , m_counts{{clock.now(), std::max<std::size_t>(floor, 1)}}
    { }

    /** Notes how many hosts are listed now. */
    void observe(std::size_t count) { m_counts.push_back({m_clock.now(), count}); }

    /** Returns the number of hosts to divide by; at least one. */
    [[nodiscard]] std::size_t value()
    {
        const time_point oldest = m_clock.now() - m_window;
        // A count holds until the next one, so the first of the window began before it.
        while (m_counts.size() > 1 && m_counts[1].since < oldest)
            m_counts.pop_front();
        std::size_t greatest = 1;
        for (const sample &each : m_counts)
            greatest = std::max(greatest, each.count);
        return greatest;
    }

private:
    struct sample
    {
        time_point since;
        std::size_t count;
    };

    const clock &m_clock;
    duration m_window;
    std::deque<sample> m_counts;
};

} // namespace mustardcourse::membership
