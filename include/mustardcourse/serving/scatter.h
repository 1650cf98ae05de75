#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/registers/coverage.h>

#include <cstddef>
#include <vector>

namespace mustardcourse::serving {

/** How one attempt at a target ended for the request. */
enum class attempt_outcome {
    /** The target's answer can be used. */
    Answered,
    /** The target ran the request and failed. */
    Failed,
    /** The target states that it did not run the request. */
    NotRun,
    /** Nothing reached the target. */
    NotSent,
    /** The request may have run, and its answer is lost. */
    Lost,
};

/** What is fixed for one request. */
struct scatter_parameters
{
    std::size_t shardCount = 1;
    /** Answers without which the request has failed. */
    std::size_t minimumAnswers = 1;
    /** Targets to which the request may be sent, for each shard. */
    std::size_t maximumTargets = 1;
    bool isIdempotent = false;
    /** When an answer with the shards that are there is better than to wait for the others. */
    time_point cutoff;
    /** When the request ends in any case. */
    time_point end;
};

/** What to do with a request now. */
enum class scatter_decision { Wait, Answer, Fail };

/** Returns the number of shards that a least share asks for. */
std::size_t minimumAnswersFor(double leastShare, std::size_t shardCount);

/**
    The state of one request over its shards, and the decisions that depend on nothing else.

    A request to a single target is the case of one shard. It does no I/O.
*/
class scatter
{
public:
    explicit scatter(const scatter_parameters &parameters);

    /** Notes that a shard's request was handed to a target. */
    void recordSent(std::size_t shard);

    /** Notes the end of an attempt. */
    void recordOutcome(std::size_t shard, attempt_outcome end);

    /** Notes that nothing more will be tried for a shard; attempts that run may still answer. */
    void giveUp(std::size_t shard);

    /** Returns whether a shard without a running attempt may be sent to another target. */
    [[nodiscard]] bool mayRetry(std::size_t shard) const;

    /** Returns whether a second attempt may run beside the first. */
    [[nodiscard]] bool mayHedge(std::size_t shard) const;

    [[nodiscard]] bool isAnswered(std::size_t shard) const
    {
        return m_coverage.contains(indexOf(shard));
    }
    [[nodiscard]] bool isRunning(std::size_t shard) const { return m_shards[shard].running > 0; }
    [[nodiscard]] std::size_t answeredCount() const noexcept { return m_coverage.answeredCount(); }
    /** Returns the shards that have been answered. */
    [[nodiscard]] const registers::coverage &coverage() const noexcept { return m_coverage; }

    /** Returns whether any attempt may have run the request. */
    [[nodiscard]] bool mayHaveRun() const;

    [[nodiscard]] scatter_decision decision(time_point now) const;
    [[nodiscard]] const scatter_parameters &parameters() const noexcept { return m_terms; }

private:
    struct shard_state
    {
        std::size_t running = 0;
        /** Attempts that reached, or may have reached, a target. */
        std::size_t reached = 0;
        /** Attempts that did not reach one. */
        std::size_t unreached = 0;
        bool isGivenUp = false;
        bool mayHaveRun = false;
    };

    static shard_index indexOf(std::size_t shard)
    {
        return shard_index(static_cast<std::uint32_t>(shard));
    }
    [[nodiscard]] std::size_t openCount() const;

    scatter_parameters m_terms;
    std::vector<shard_state> m_shards;
    registers::coverage m_coverage;
};

} // namespace mustardcourse::serving
