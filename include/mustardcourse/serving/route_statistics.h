#pragma once

#include <mustardcourse/serving/configuration.h>
#include <mustardcourse/serving/latency_histogram.h>

namespace mustardcourse::serving {

/** What a host has learned of the requests of one route. */
class route_statistics
{
public:
    /** Notes the latency of one answered attempt. */
    void recordAttempt(duration latency);

    /** Notes the time that a caller gives a request, to tell later tries from first ones. */
    void recordDeadline(duration deadline);

    /** Returns the median latency of an attempt, which a few slow targets do not move. */
    [[nodiscard]] duration usualLatency() const noexcept { return m_usual; }

    /**
        Returns how long to wait for a first attempt before a second one runs beside it.

        It is late enough that few attempts are doubled, and early enough that the second one still
        ends within the time that is left.
    */
    [[nodiscard]] duration hedgeDelay(duration timeLeft) const;

    /** Returns how long ago the caller first tried, taken from what it gives to this try. */
    [[nodiscard]] duration ageOf(duration deadline) const;

    weighted_rotation rotation;

private:
    latency_histogram m_attempts;
    duration m_usual = std::chrono::milliseconds(10);
    std::size_t m_recordedSinceUpdate = 0;
    duration m_longestDeadline{0};
};

} // namespace mustardcourse::serving
