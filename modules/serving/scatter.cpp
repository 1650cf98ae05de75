#include <mustardcourse/serving/scatter.h>

#include <algorithm>
#include <cmath>

namespace mustardcourse::serving {

namespace {

/** Targets of a shard that may be found unreachable before it is given up. */
constexpr std::size_t maximumUnreached = 3;

} // namespace

std::size_t minimumAnswersFor(double leastShare, std::size_t shardCount)
{
    // A share such as 0.9 of 10 is exact in the settings but not in binary.
    constexpr double rounding = 1e-9;
    const double wanted = std::ceil(leastShare * static_cast<double>(shardCount) - rounding);
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(wanted, 1.0)), 1, shardCount);
}

scatter::scatter(const scatter_parameters &parameters)
    : m_terms(parameters)
    , m_shards(parameters.shardCount)
    , m_coverage(parameters.shardCount)
{ }

void scatter::recordSent(std::size_t shard)
{
    ++m_shards[shard].running;
    ++m_shards[shard].reached;
}

void scatter::recordOutcome(std::size_t shard, attempt_outcome end)
{
    shard_state &state = m_shards[shard];
    --state.running;
    switch (end) {
    case attempt_outcome::Answered:
        m_coverage.record(indexOf(shard));
        state.mayHaveRun = true;
        break;
    case attempt_outcome::Failed:
    case attempt_outcome::Lost:
        state.mayHaveRun = true;
        break;
    case attempt_outcome::NotSent:
        --state.reached;
        ++state.unreached;
        break;
    case attempt_outcome::NotRun:
        break;
    }
}

void scatter::giveUp(std::size_t shard)
{
    m_shards[shard].isGivenUp = true;
}

bool scatter::mayRetry(std::size_t shard) const
{
    const shard_state &state = m_shards[shard];
    if (isAnswered(shard) || state.isGivenUp || state.running > 0)
        return false;
    if (state.mayHaveRun && !m_terms.isIdempotent)
        return false;
    return state.reached < m_terms.maximumTargets && state.unreached < maximumUnreached;
}

bool scatter::mayHedge(std::size_t shard) const
{
    const shard_state &state = m_shards[shard];
    return m_terms.isIdempotent && !isAnswered(shard) && state.running == 1
        && state.reached < m_terms.maximumTargets;
}

bool scatter::mayHaveRun() const
{
    return std::any_of(m_shards.begin(), m_shards.end(), [](const shard_state &state) {
        return state.mayHaveRun || state.running > 0;
    });
}

std::size_t scatter::openCount() const
{
    std::size_t open = 0;
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        const shard_state &state = m_shards[shard];
        const bool isOpen = !isAnswered(shard) && (!state.isGivenUp || state.running > 0);
        open += isOpen ? 1 : 0;
    }
    return open;
}

scatter_decision scatter::decision(time_point now) const
{
    const std::size_t open = openCount();
    const bool isEnough = answeredCount() >= m_terms.minimumAnswers;
    if (open == 0 || now >= m_terms.end)
        return isEnough ? scatter_decision::Answer : scatter_decision::Fail;
    if (answeredCount() + open < m_terms.minimumAnswers)
        return scatter_decision::Fail;
    if (isEnough && now >= m_terms.cutoff)
        return scatter_decision::Answer;
    return scatter_decision::Wait;
}

} // namespace mustardcourse::serving
