#include "property.h"

#include <mustardcourse/serving/scatter.h>

using namespace mustardcourse;
using namespace mustardcourse::serving;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};

scatter_parameters parametersFor(std::size_t shards, double minimumShare, std::size_t targets,
                                 bool isIdempotent)
{
    return {shards,       minimumAnswersFor(minimumShare, shards),
            targets,      isIdempotent,
            start + 50ms, start + 200ms};
}

} // namespace

TEST_CASE("the minimum number of answers matches the minimum share exactly")
{
    struct row
    {
        double share;
        std::size_t shards;
        std::size_t expected;
    };
    const row rows[] = {{0.89, 10, 9}, {0.75, 10, 8},  {0.9, 10, 9},   {1, 10, 10},
                        {0, 10, 1},    {0.95, 36, 35}, {0.85, 36, 31}, {0.89, 15, 14}};
    for (const row &item : rows) {
        CAPTURE(item.share);
        CAPTURE(item.shards);
        CHECK(minimumAnswersFor(item.share, item.shards) == item.expected);
    }
}

TEST_CASE("whether a request waits or is answered or fails")
{
    struct row
    {
        std::string name;
        std::size_t answeredCount;
        std::size_t givenUpCount;
        std::chrono::milliseconds at;
        scatter_decision expected;
    };
    const row rows[] = {
        {"all answered", 10, 0, 1ms, scatter_decision::Answer},
        {"one is pending before the cutoff", 9, 0, 49ms, scatter_decision::Wait},
        {"one is pending at the cutoff", 9, 0, 50ms, scatter_decision::Answer},
        {"too few answered at the cutoff", 8, 0, 50ms, scatter_decision::Wait},
        {"too few answered at the end", 8, 0, 200ms, scatter_decision::Fail},
        {"the last one is given up", 9, 1, 1ms, scatter_decision::Answer},
        {"too few can still be answered", 0, 2, 1ms, scatter_decision::Fail},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        scatter request(parametersFor(10, 0.89, 2, true));
        for (std::size_t shard = 0; shard < 10; ++shard)
            request.recordSent(shard);
        for (std::size_t shard = 0; shard < item.answeredCount; ++shard)
            request.recordOutcome(shard, attempt_outcome::Answered);
        for (std::size_t shard = item.answeredCount; shard < item.answeredCount + item.givenUpCount;
             ++shard) {
            request.recordOutcome(shard, attempt_outcome::Lost);
            request.giveUp(shard);
        }
        CHECK(request.decision(start + item.at) == item.expected);
    }
}

TEST_CASE("whether a request may go to another target after an attempt ended")
{
    struct row
    {
        std::string name;
        attempt_outcome outcome;
        bool isIdempotent;
        bool mayRetry;
        bool mayHaveRun;
    };
    const row rows[] = {
        {"failed and idempotent", attempt_outcome::Failed, true, true, true},
        {"failed and not idempotent", attempt_outcome::Failed, false, false, true},
        {"lost and idempotent", attempt_outcome::Lost, true, true, true},
        {"lost and not idempotent", attempt_outcome::Lost, false, false, true},
        {"not run and not idempotent", attempt_outcome::NotRun, false, true, false},
        {"not sent and not idempotent", attempt_outcome::NotSent, false, true, false},
        {"answered", attempt_outcome::Answered, true, false, true},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        scatter request(parametersFor(1, 1, 2, item.isIdempotent));
        request.recordSent(0);
        CHECK(request.mayHedge(0) == item.isIdempotent);
        request.recordOutcome(0, item.outcome);
        CHECK(request.mayRetry(0) == item.mayRetry);
        CHECK(request.mayHaveRun() == item.mayHaveRun);
    }
}

TEST_CASE("no sequence of events sends a request to too many targets or runs it twice")
{
    CHECK_PROPERTY("scatter", [](const std::vector<std::uint8_t> &events, bool isIdempotent) {
        constexpr std::size_t targets = 2;
        scatter request(parametersFor(3, 0.5, targets, isIdempotent));
        std::vector<std::size_t> runningCounts(3);
        std::vector<std::size_t> reachedCounts(3);
        std::vector<bool> mayHaveRun(3);
        for (const std::uint8_t event : events) {
            const std::size_t shard = event % 3;
            const auto action = static_cast<std::size_t>(event / 3) % 7;
            const bool isFirst = reachedCounts[shard] == 0 && runningCounts[shard] == 0;
            if (action == 0 && (request.mayRetry(shard) || request.mayHedge(shard))) {
                RC_ASSERT(isIdempotent || !mayHaveRun[shard]);
                RC_ASSERT(isIdempotent || runningCounts[shard] == 0U);
                RC_ASSERT(isFirst || reachedCounts[shard] < targets);
                request.recordSent(shard);
                ++runningCounts[shard];
                ++reachedCounts[shard];
            }
            if (action >= 1 && action <= 5 && runningCounts[shard] > 0) {
                const auto outcome = static_cast<attempt_outcome>(action - 1);
                request.recordOutcome(shard, outcome);
                --runningCounts[shard];
                reachedCounts[shard] -= outcome == attempt_outcome::NotSent ? 1 : 0;
                const bool hasPossiblyRun =
                    outcome != attempt_outcome::NotSent && outcome != attempt_outcome::NotRun;
                mayHaveRun[shard] = mayHaveRun[shard] || hasPossiblyRun;
            }
        }
        const bool hasAnyPossiblyRun = mayHaveRun[0] || mayHaveRun[1] || mayHaveRun[2];
        // A refusal states that nothing ran, so mayHaveRun() must not miss a possible run.
        RC_ASSERT(!hasAnyPossiblyRun || request.mayHaveRun());
    });
}
