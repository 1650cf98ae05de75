#pragma once

#include <mustardcourse/serving/configuration.h>
#include <mustardcourse/serving/latency_histogram.h>

namespace mustardcourse::serving {

/**
    When a second attempt runs beside a first one.

    It is sent from the earliest time on while the retry budget is full, and from the usual time on
    in any case, so that the budget is spent where it does most.
*/
struct hedge_window
{
    duration earliest{0};
    duration usual{0};

    /** Returns how far a time is from the earliest to the usual one, from 0 to 1. */
    [[nodiscard]] double progressAt(duration sinceFirst) const;
};

/** What a host has learned of the requests of one route. */
class route_statistics
{
public:
    /** @param objective  the route's latency objective, which stands for what is not known yet */
    explicit route_statistics(duration objective);

    /** Notes the latency of one answered attempt. */
    void recordAttempt(duration latency);

    /** Notes the time that a caller gives a request, to tell later tries from first ones. */
    void recordDeadline(duration deadline);

    /** Returns the median latency of an attempt, which a few slow targets do not move. */
    [[nodiscard]] duration medianLatency() const noexcept { return m_usual; }

    /**
        Returns when a second attempt may run beside a first one, counted from that one.

        @param timeLeft  from the first attempt to the time at which the answer is due
    */
    [[nodiscard]] hedge_window hedgeWindow(duration timeLeft) const;

    /** Returns how long ago the caller first tried, taken from what it gives to this try. */
    [[nodiscard]] duration estimatedAge(duration deadline) const;

    weighted_round_robin roundRobin;

private:
    latency_histogram m_attempts;
    duration m_objective;
    duration m_usual;
    std::size_t m_recordedSinceUpdate = 0;
    duration m_longestDeadline{0};
};

} // namespace mustardcourse::serving
