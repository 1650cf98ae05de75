#include <mustardcourse/serving/latency_histogram.h>

#include <algorithm>
#include <cmath>

namespace mustardcourse::serving {

namespace {

/** The first bucket ends here; each further one is wider by the growth factor. */
constexpr double firstBucketMilliseconds = 0.5;
/** Relative error of a quantile. */
constexpr double growth = 1.12;
/** Observations after which the older ones lose half of their weight. */
constexpr float windowWeight = 1000;
/** Observations that make a quantile meaningful. */
constexpr float leastWeight = 10;

} // namespace

void latency_histogram::record(duration latency)
{
    const double milliseconds = std::chrono::duration<double, std::milli>(latency).count();
    const double position = milliseconds <= firstBucketMilliseconds
        ? 0
        : std::ceil(std::log(milliseconds / firstBucketMilliseconds) / std::log(growth));
    const auto bucket = std::min(static_cast<std::size_t>(position), bucketCount - 1);
    m_weights[bucket] += 1;
    m_total += 1;
    if (m_total < windowWeight)
        return;
    for (float &weight : m_weights)
        weight /= 2;
    m_total /= 2;
}

duration latency_histogram::quantile(double part, duration fallback) const
{
    if (m_total < leastWeight)
        return fallback;
    const auto wanted = static_cast<float>(part) * m_total;
    float seen = 0;
    double bound = firstBucketMilliseconds;
    for (const float weight : m_weights) {
        seen += weight;
        if (seen >= wanted)
            break;
        bound *= growth;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(bound));
}

} // namespace mustardcourse::serving
