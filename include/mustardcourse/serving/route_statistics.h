#pragma once

#include <mustardcourse/serving/configuration.h>
#include <mustardcourse/serving/latency_histogram.h>

#include <optional>

namespace mustardcourse::serving {

/**
    When a hedge may be sent, counted from the first attempt.

    At the earliest time a hedge needs a full retry budget. The level that it needs then falls until
    the latest time, from which on the minimum applies, so that the budget is spent where it helps
    most.
*/
struct hedge_window
{
    duration earliest{0};
    duration latest{0};

    /** Returns how far a time lies between the earliest and the latest one, from 0 to 1. */
    [[nodiscard]] double progressAt(duration sinceFirst) const;
};

/** Statistics of a host about the requests of one route. */
class route_statistics
{
public:
    /** @param objective  the route's latency objective, from which initial values are derived */
    explicit route_statistics(duration objective);

    /** Sets the route's latency objective. */
    void setObjective(duration objective) noexcept { m_objective = objective; }

    /** Records the latency of one answered attempt. */
    void recordAttempt(duration latency);

    /** Records the time that a caller allows for a request. @see estimatedAge */
    void recordDeadline(duration deadline);

    /** Returns the median latency of an attempt, which a few slow targets do not affect. */
    [[nodiscard]] duration medianLatency() const;

    /**
        Returns when a hedge may be sent, counted from the first attempt.

        @param remainingTime  from the first attempt to the time at which the answer is due
    */
    [[nodiscard]] hedge_window hedgeWindow(duration remainingTime) const;

    /**
        Estimates how long ago the caller first sent a request.

        A caller that tries again allows less time than at first, so the estimate is the difference
        from the maximum recorded time.
    */
    [[nodiscard]] duration estimatedAge(duration deadline) const;

    weighted_round_robin roundRobin;

private:
    latency_histogram m_attempts;
    duration m_objective;
    std::optional<duration> m_medianLatency;
    std::size_t m_attemptsSinceUpdate = 0;
    duration m_maximumDeadline{0};
};

} // namespace mustardcourse::serving
