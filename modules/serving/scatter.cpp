#include <mustardcourse/serving/scatter.h>

#include <algorithm>
#include <cmath>

namespace mustardcourse::serving {

namespace {

/** Unreachable targets of a shard after which it gets no further attempt. */
constexpr std::size_t maximumUnreachedTargets = 3;

} // namespace

std::size_t minimumAnswersFor(double minimumShare, std::size_t shardCount)
{
    // A decimal share such as 0.9 has no exact binary value, so the product may
    // lie just above the intended integer.
    constexpr double roundingTolerance = 1e-9;
    const double required =
        std::ceil(minimumShare * static_cast<double>(shardCount) - roundingTolerance);
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(required, 1.0)), 1,
                                   shardCount);
}

scatter::scatter(const scatter_parameters &parameters)
    : m_parameters(parameters)
    , m_shards(parameters.shardCount)
    , m_coverage(parameters.shardCount)
{ }

void scatter::recordSent(std::size_t shard)
{
    ++m_shards[shard].runningCount;
    ++m_shards[shard].reachedCount;
}

void scatter::recordOutcome(std::size_t shard, attempt_outcome outcome)
{
    shard_state &state = m_shards[shard];
    --state.runningCount;
    switch (outcome) {
    case attempt_outcome::Answered:
        m_coverage.record(indexOf(shard));
        state.mayHaveRun = true;
        break;
    case attempt_outcome::Failed:
    case attempt_outcome::Lost:
        state.mayHaveRun = true;
        break;
    case attempt_outcome::NotSent:
        --state.reachedCount;
        ++state.unreachedCount;
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
    if (isAnswered(shard) || state.isGivenUp || state.runningCount > 0)
        return false;
    if (state.mayHaveRun && !m_parameters.isIdempotent)
        return false;
    return state.reachedCount < m_parameters.maximumTargets
        && state.unreachedCount < maximumUnreachedTargets;
}

bool scatter::mayHedge(std::size_t shard) const
{
    const shard_state &state = m_shards[shard];
    return m_parameters.isIdempotent && !isAnswered(shard) && state.runningCount == 1
        && state.reachedCount < m_parameters.maximumTargets;
}

bool scatter::mayHaveRun() const
{
    return std::any_of(m_shards.begin(), m_shards.end(), [](const shard_state &state) {
        return state.mayHaveRun || state.runningCount > 0;
    });
}

bool scatter::mayEndedAttemptHaveRun() const
{
    return std::any_of(m_shards.begin(), m_shards.end(),
                       [](const shard_state &state) { return state.mayHaveRun; });
}

std::size_t scatter::pendingShardCount() const
{
    std::size_t pendingCount = 0;
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard) {
        const shard_state &state = m_shards[shard];
        const bool isPending = !isAnswered(shard) && (!state.isGivenUp || state.runningCount > 0);
        pendingCount += isPending ? 1 : 0;
    }
    return pendingCount;
}

scatter_decision scatter::decision(time_point now) const
{
    const std::size_t pendingCount = pendingShardCount();
    const bool hasEnoughAnswers = answeredCount() >= m_parameters.minimumAnswers;
    if (pendingCount == 0 || now >= m_parameters.end)
        return hasEnoughAnswers ? scatter_decision::Answer : scatter_decision::Fail;
    if (answeredCount() + pendingCount < m_parameters.minimumAnswers)
        return scatter_decision::Fail;
    if (hasEnoughAnswers && now >= m_parameters.cutoff)
        return scatter_decision::Answer;
    return scatter_decision::Wait;
}

} // namespace mustardcourse::serving
