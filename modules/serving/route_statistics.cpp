#include <mustardcourse/serving/route_statistics.h>

#include <algorithm>

namespace mustardcourse::serving {

namespace {

using std::chrono::milliseconds;

/** Part of the attempts that end before a second one is sent. */
constexpr double hedgeQuantile = 0.93;
/** Part of the attempts that end before a second one is sent however little time is left: doubling
    more would spend the shared budget at once. */
constexpr double earliestQuantile = 0.8;
/** Part of second attempts that should end in the time that is left for them. */
constexpr double secondAttemptQuantile = 0.9;
/** Until enough attempts have been seen. */
constexpr milliseconds initialHedgeDelay{25};
/** A second attempt before this would only race with the network. */
constexpr milliseconds leastHedgeDelay{4};
/** Attempts between two updates of the median, which reads all buckets. */
constexpr std::size_t attemptsPerUpdate = 32;

} // namespace

void route_statistics::recordAttempt(duration latency)
{
    m_attempts.record(latency);
    if (++m_recordedSinceUpdate < attemptsPerUpdate)
        return;
    m_recordedSinceUpdate = 0;
    m_usual = m_attempts.quantile(0.5, m_usual);
}

void route_statistics::recordDeadline(duration deadline)
{
    m_longestDeadline = std::max(m_longestDeadline, deadline);
}

duration route_statistics::hedgeDelay(duration timeLeft) const
{
    const duration usual = m_attempts.quantile(hedgeQuantile, initialHedgeDelay);
    const duration second = m_attempts.quantile(secondAttemptQuantile, initialHedgeDelay);
    const duration latest = timeLeft - second;
    const duration earliest = m_attempts.quantile(earliestQuantile, leastHedgeDelay);
    return std::max({std::min(usual, latest), earliest, duration(leastHedgeDelay)});
}

duration route_statistics::ageOf(duration deadline) const
{
    return std::max(m_longestDeadline - deadline, duration::zero());
}

} // namespace mustardcourse::serving
