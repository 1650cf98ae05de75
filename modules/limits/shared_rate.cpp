#include <mustardcourse/limits/shared_rate.h>

#include <algorithm>
#include <cmath>

namespace mustardcourse::limits {

namespace {

/** Returns the turns of one host in a second. */
double turnsPerSecond(const rate_share &share)
{
    return share.requestsPerSecond / static_cast<double>(share.memberCount);
}

} // namespace

shared_rate::shared_rate(double phase, duration turnLifetime, time_point now)
    : m_turnLifetime(turnLifetime)
    , m_turns(phase)
    , m_advancedAt(now)
{ }

void shared_rate::advance(const rate_share &share, time_point now)
{
    const std::chrono::duration<double> elapsed = now - m_advancedAt;
    m_turns += elapsed.count() * turnsPerSecond(share);
    m_advancedAt = now;
    const double turnsInLifetime = m_turnLifetime.count() * turnsPerSecond(share);
    m_pastTurns = std::max(m_pastTurns, std::floor(m_turns - turnsInLifetime));
}

duration shared_rate::timeUntilTurn(const rate_share &share, time_point now)
{
    advance(share, now);
    const double missingTurns = m_pastTurns + 1 - m_turns;
    if (missingTurns <= 0)
        return duration::zero();
    return std::chrono::ceil<duration>(
        std::chrono::duration<double>(missingTurns / turnsPerSecond(share)));
}

} // namespace mustardcourse::limits
