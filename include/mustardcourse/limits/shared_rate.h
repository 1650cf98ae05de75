#pragma once

#include <mustardcourse/core/clock.h>

#include <cstddef>

namespace mustardcourse::limits {

/** A rate of requests that several hosts share evenly. */
struct rate_share
{
    double requestsPerSecond = 0;
    /** Number of hosts that share the rate; at least one. */
    std::size_t memberCount = 1;
};

/**
    This host's part of a rate that several hosts share without coordination.

    Each host may send one request in each of its turns, which come at even intervals so that the
    turns of all hosts together make up the rate. The phase differs between hosts, so that the turns
    are spread evenly even if all hosts learn of the rate at the same moment. A turn that isn't used
    soon is lost: hosts that were idle must not all send when they get requests at the same time.
*/
class shared_rate
{
public:
    /**
        @param phase         from 0 to 1, evenly distributed over the hosts
        @param turnLifetime  time for which an unused turn can still be used. In any time window all
                             hosts together send about as many requests as the rate allows in the
                             window plus this time.
    */
    shared_rate(double phase, duration turnLifetime, time_point now);

    /** Returns the time until the next turn; zero if a request may be sent now. Precondition: the
        rate is positive. */
    [[nodiscard]] duration timeUntilTurn(const rate_share &share, time_point now);

    /** Records that a request was sent, which uses the oldest turn. */
    void recordSent() noexcept { m_pastTurns += 1; }

private:
    void advance(const rate_share &share, time_point now);

    std::chrono::duration<double> m_turnLifetime;
    /** Number of turns since the beginning, with the fraction of the next one. */
    double m_turns;
    /** Number of turns that have been used or lost. */
    double m_pastTurns = 0;
    time_point m_advancedAt;
};

} // namespace mustardcourse::limits
