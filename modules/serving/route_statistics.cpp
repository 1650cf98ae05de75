#include <mustardcourse/serving/route_statistics.h>

#include <algorithm>

namespace mustardcourse::serving {

namespace {

using std::chrono::milliseconds;

/** Share of attempts that end before the latest time of the hedge window, if time allows. */
constexpr double hedgeQuantile = 0.93;
/** Share of attempts that end before the earliest time of the hedge window, however little time
    remains: hedging more of them would exhaust the shared budget at once. */
constexpr double earliestHedgeQuantile = 0.86;
/** Share of hedges that should end in the time that remains for them. */
constexpr double hedgeCompletionQuantile = 0.9;
/** Shares of the objective that stand for the median latency and for that of slow attempts until
   there are enough observations: a target that is meant to meet an objective is well within it. */
constexpr double initialMedianShare = 0.15;
constexpr double initialSlowShare = 0.3;
/** A hedge sent earlier would only race with the network delay of the first attempt. */
constexpr milliseconds minimumHedgeDelay{4};
/** Attempts between two updates of the median, as an update reads all buckets. A route with few
    requests still gets one within seconds. */
constexpr std::size_t attemptsPerUpdate = 8;

} // namespace

route_statistics::route_statistics(duration objective)
    : m_objective(objective)
{ }

duration route_statistics::medianLatency() const
{
    return m_medianLatency.value_or(scaled(m_objective, initialMedianShare));
}

void route_statistics::recordAttempt(duration latency)
{
    m_attempts.record(latency);
    if (++m_attemptsSinceUpdate < attemptsPerUpdate)
        return;
    m_attemptsSinceUpdate = 0;
    m_medianLatency = m_attempts.quantile(0.5, medianLatency());
}

void route_statistics::recordDeadline(duration deadline)
{
    m_maximumDeadline = std::max(m_maximumDeadline, deadline);
}

hedge_window route_statistics::hedgeWindow(duration remainingTime) const
{
    const duration initialSlowLatency = scaled(m_objective, initialSlowShare);
    const duration regular = m_attempts.quantile(hedgeQuantile, initialSlowLatency);
    const duration hedgeDuration = m_attempts.quantile(hedgeCompletionQuantile, initialSlowLatency);
    const duration earliest = std::max<duration>(
        m_attempts.quantile(earliestHedgeQuantile, initialSlowLatency), minimumHedgeDelay);
    return {earliest, std::max(std::min(regular, remainingTime - hedgeDuration), earliest)};
}

double hedge_window::progressAt(duration sinceFirst) const
{
    if (sinceFirst >= latest)
        return 1;
    if (sinceFirst <= earliest)
        return 0;
    return std::chrono::duration<double>(sinceFirst - earliest)
        / std::chrono::duration<double>(latest - earliest);
}

duration route_statistics::estimatedAge(duration deadline) const
{
    return std::max(m_maximumDeadline - deadline, duration::zero());
}

} // namespace mustardcourse::serving
