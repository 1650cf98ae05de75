#include <mustardcourse/serving/latency_histogram.h>

#include <algorithm>
#include <cmath>

namespace mustardcourse::serving {

namespace {

/** Upper bound of the first bucket; each further bound is higher by the factor bucketGrowth. */
constexpr double firstBucketMilliseconds = 0.5;
/** Ratio of successive bucket bounds, which limits the relative error of a quantile. */
constexpr double bucketGrowth = 1.12;
/** Total weight at which all observations so far lose half of their weight. */
constexpr float windowWeight = 1000;
/** Minimum number of observations for a meaningful quantile. */
constexpr float minimumWeight = 10;

} // namespace

void latency_histogram::record(duration latency)
{
    const double milliseconds = std::chrono::duration<double, std::milli>(latency).count();
    const double position = milliseconds <= firstBucketMilliseconds
        ? 0
        : std::ceil(std::log(milliseconds / firstBucketMilliseconds) / std::log(bucketGrowth));
    const auto bucket = std::min(static_cast<std::size_t>(position), bucketCount - 1);
    m_weights[bucket] += 1;
    m_total += 1;
    if (m_total < windowWeight)
        return;
    for (float &weight : m_weights)
        weight /= 2;
    m_total /= 2;
}

duration latency_histogram::quantile(double fraction, duration fallback) const
{
    if (m_total < minimumWeight)
        return fallback;
    const auto requiredWeight = static_cast<float>(fraction) * m_total;
    float cumulativeWeight = 0;
    double bound = firstBucketMilliseconds;
    for (const float weight : m_weights) {
        cumulativeWeight += weight;
        if (cumulativeWeight >= requiredWeight)
            break;
        bound *= bucketGrowth;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(bound));
}

} // namespace mustardcourse::serving
