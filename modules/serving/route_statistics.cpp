#include <mustardcourse/serving/route_statistics.h>

#include <algorithm>

namespace mustardcourse::serving {

namespace {

using std::chrono::milliseconds;

/** Part of the attempts that end before a second one is sent. */
constexpr double hedgeQuantile = 0.93;
/** Part of the attempts that end before a second one is sent however little time is left: doubling
    more would spend the shared budget at once. */
constexpr double earliestQuantile = 0.86;
/** Part of second attempts that should end in the time that is left for them. */
constexpr double secondAttemptQuantile = 0.9;
/** Parts of the objective that stand for the usual latency and for that of slow attempts until
   enough have been seen: a target that is meant to meet an objective is well within it. */
constexpr double initialUsualPart = 0.15;
constexpr double initialSlowPart = 0.3;
/** A second attempt before this would only race with the network. */
constexpr milliseconds leastHedgeDelay{4};
/** Attempts between two updates of the median, which reads all buckets; a route that is asked for
    rarely still has one within seconds. */
constexpr std::size_t attemptsPerUpdate = 8;

} // namespace

route_statistics::route_statistics(duration objective)
    : m_objective(objective)
    , m_usual(scaled(objective, initialUsualPart))
{ }

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

hedge_window route_statistics::hedgeWindow(duration timeLeft) const
{
    const duration unknown = scaled(m_objective, initialSlowPart);
    const duration usual = m_attempts.quantile(hedgeQuantile, unknown);
    const duration second = m_attempts.quantile(secondAttemptQuantile, unknown);
    const duration earliest =
        std::max<duration>(m_attempts.quantile(earliestQuantile, unknown), leastHedgeDelay);
    return {earliest, std::max(std::min(usual, timeLeft - second), earliest)};
}

double hedge_window::progressAt(duration sinceFirst) const
{
    if (sinceFirst >= usual)
        return 1;
    if (sinceFirst <= earliest)
        return 0;
    return std::chrono::duration<double>(sinceFirst - earliest)
        / std::chrono::duration<double>(usual - earliest);
}

duration route_statistics::estimatedAge(duration deadline) const
{
    return std::max(m_longestDeadline - deadline, duration::zero());
}

} // namespace mustardcourse::serving
