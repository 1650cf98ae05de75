#include <mustardcourse/serving/scatter.h>

#include <algorithm>
#include <cmath>

namespace mustardcourse::serving {

namespace {

/** Targets of a shard that may be found unreachable before it is given up. */
constexpr std::size_t maximumUnreached = 3;

} // namespace

std::size_t leastAnswersFor(double leastShare, std::size_t shardCount)
{
    // A share such as 0.9 of 10 is exact in the settings but not in binary.
    constexpr double rounding = 1e-9;
    const double wanted = std::ceil(leastShare * static_cast<double>(shardCount) - rounding);
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(wanted, 1.0)), 1, shardCount);
}

scatter::scatter(const scatter_terms &terms)
    : m_terms(terms)
    , m_shards(terms.shardCount)
    , m_coverage(terms.shardCount)
{ }

void scatter::noteSent(std::size_t shard)
{
    ++m_shards[shard].running;
    ++m_shards[shard].reached;
}

void scatter::noteEnd(std::size_t shard, attempt_end end)
{
    shard_state &state = m_shards[shard];
    --state.running;
    switch (end) {
    case attempt_end::Answered:
        m_coverage.record(indexOf(shard));
        state.mayHaveRun = true;
        break;
    case attempt_end::Failed:
    case attempt_end::Lost:
        state.mayHaveRun = true;
        break;
    case attempt_end::NotSent:
        --state.reached;
        ++state.unreached;
        break;
    case attempt_end::NotRun:
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

scatter_verdict scatter::verdict(time_point now) const
{
    const std::size_t open = openCount();
    const bool isEnough = answeredCount() >= m_terms.leastAnswers;
    if (open == 0 || now >= m_terms.end)
        return isEnough ? scatter_verdict::Answer : scatter_verdict::Fail;
    if (answeredCount() + open < m_terms.leastAnswers)
        return scatter_verdict::Fail;
    if (isEnough && now >= m_terms.cutoff)
        return scatter_verdict::Answer;
    return scatter_verdict::Wait;
}

} // namespace mustardcourse::serving
