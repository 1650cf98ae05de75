#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/registers/coverage.h>

#include <cstddef>
#include <vector>

namespace mustardcourse::serving {

/** Outcome of one attempt to have a target run a shard's request. */
enum class attempt_outcome {
    /** The target returned a usable answer. */
    Answered,
    /** The target ran the request and failed. */
    Failed,
    /** The target reports that it did not run the request. */
    NotRun,
    /** The request did not reach the target. */
    NotSent,
    /** The request may have run, but its answer was lost. */
    Lost,
};

/** Parameters of one request, which stay fixed while it runs. */
struct scatter_parameters
{
    std::size_t shardCount = 1;
    /** Minimum number of answered shards; with fewer the request fails. */
    std::size_t minimumAnswers = 1;
    /** Maximum number of targets that the request may be sent to, per shard. */
    std::size_t maximumTargets = 1;
    bool isIdempotent = false;
    /** Time from which an answer with enough shards is returned without waiting for the rest. */
    time_point cutoff;
    /** Time at which the request is answered or fails in any case. */
    time_point end;
};

/** What to do with a request at a given time. */
enum class scatter_decision { Wait, Answer, Fail };

/** Returns the number of answers that a minimum share of the shards requires; at least one. */
std::size_t minimumAnswersFor(double minimumShare, std::size_t shardCount);

/**
    Tracks the attempts of one request on each of its shards, and decides from that state alone
    whether to retry, hedge, answer or fail.

    A request to a single target has one shard. The class does no I/O.
*/
class scatter
{
public:
    explicit scatter(const scatter_parameters &parameters);

    /** Records that a shard's request was sent to a target. */
    void recordSent(std::size_t shard);

    /** Records how a running attempt ended. */
    void recordOutcome(std::size_t shard, attempt_outcome outcome);

    /** Stops further attempts for a shard; running attempts may still answer. */
    void giveUp(std::size_t shard);

    /** Returns whether a shard without a running attempt may be sent to another target. */
    [[nodiscard]] bool mayRetry(std::size_t shard) const;

    /** Returns whether a hedge may be started beside the running attempt of a shard. */
    [[nodiscard]] bool mayHedge(std::size_t shard) const;

    [[nodiscard]] bool isAnswered(std::size_t shard) const
    {
        return m_coverage.contains(indexOf(shard));
    }
    [[nodiscard]] bool isRunning(std::size_t shard) const
    {
        return m_shards[shard].runningCount > 0;
    }
    [[nodiscard]] std::size_t answeredCount() const noexcept { return m_coverage.answeredCount(); }
    /** Returns the shards that have been answered. */
    [[nodiscard]] const registers::coverage &coverage() const noexcept { return m_coverage; }

    /** Returns whether any target may have run the request. */
    [[nodiscard]] bool mayHaveRun() const;

    /** Returns whether the attempts that have ended don't exclude that a target has run it. */
    [[nodiscard]] bool mayEndedAttemptHaveRun() const;

    [[nodiscard]] scatter_decision decision(time_point now) const;
    [[nodiscard]] const scatter_parameters &parameters() const noexcept { return m_parameters; }

private:
    struct shard_state
    {
        std::size_t runningCount = 0;
        /** Attempts that reached, or may have reached, a target. */
        std::size_t reachedCount = 0;
        /** Attempts that did not reach a target. */
        std::size_t unreachedCount = 0;
        bool isGivenUp = false;
        bool mayHaveRun = false;
    };

    static shard_index indexOf(std::size_t shard)
    {
        return shard_index(static_cast<std::uint32_t>(shard));
    }
    /** Returns the number of unanswered shards that may still be answered. */
    [[nodiscard]] std::size_t pendingShardCount() const;

    scatter_parameters m_parameters;
    std::vector<shard_state> m_shards;
    registers::coverage m_coverage;
};

} // namespace mustardcourse::serving
