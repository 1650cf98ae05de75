#pragma once

#include <mustardcourse/core/clock.h>

#include <array>

namespace mustardcourse::serving {

/**
    Histogram of the recent latencies of one kind of call, with exponentially growing buckets.

    Older observations lose half of their weight each time the window is full, so that the
    quantiles follow a change within a few hundred calls.
*/
class latency_histogram
{
public:
    void record(duration latency);

    /** Returns the latency that a fraction of the recent calls does not exceed, or the fallback if
        there are too few observations. */
    [[nodiscard]] duration quantile(double fraction, duration fallback) const;

private:
    static constexpr std::size_t bucketCount = 80;

    std::array<float, bucketCount> m_weights{};
    float m_total = 0;
};

} // namespace mustardcourse::serving
