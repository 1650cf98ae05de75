#pragma once

#include <mustardcourse/core/clock.h>

#include <array>

namespace mustardcourse::serving {

/**
    Recent latencies of one kind of call, in buckets that grow by a fixed factor.

    Older observations lose half of their weight each time the window is full, so that the
    quantiles follow the present within a few hundred calls.
*/
class latency_histogram
{
public:
    /** Adds one observation. */
    void record(duration latency);

    /** Returns the latency that the given part of recent calls stays under, or the fallback while
        too few have been seen. */
    [[nodiscard]] duration quantile(double part, duration fallback) const;

private:
    static constexpr std::size_t bucketCount = 80;

    std::array<float, bucketCount> m_weights{};
    float m_total = 0;
};

} // namespace mustardcourse::serving
