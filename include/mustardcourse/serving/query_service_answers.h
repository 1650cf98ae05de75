#pragma once

// Definitions of query_service; include query_service.h instead.
// When a request ends, its answer, and what is told of it.

#include <mustardcourse/serving/query_service.h>

namespace mustardcourse::serving {

template <request_format Format>
duration query_service<Format>::answerMargin() const
{
    // A busy host reads a request late and answers it late.
    return m_settings.answerMargin
        + 2 * m_lag.quantile(query_details::lagQuantile, duration::zero());
}

template <request_format Format>
void query_service<Format>::settle(query &asked)
{
    const scatter_decision decision = asked.progress.decision(m_environment.time.now());
    if (decision != scatter_decision::Wait)
        return finish(asked, decision);
    schedule(asked);
}

template <request_format Format>
void query_service<Format>::schedule(query &asked)
{
    const scatter_parameters &parameters = asked.progress.parameters();
    const time_point now = m_environment.time.now();
    time_point next = std::min({parameters.end, asked.hedgeAt, asked.waitUntil});
    if (parameters.cutoff > now)
        next = std::min(next, parameters.cutoff);
    if (next == asked.wakeAt)
        return;
    asked.wakeAt = next;
    asked.timer->start(next - now);
}

template <request_format Format>
void query_service<Format>::onTimer(query_number number)
{
    const auto found = m_queries.find(number);
    if (found == m_queries.end())
        return;
    query &asked = *found->second;
    m_lag.record(std::max(m_environment.time.now() - asked.wakeAt, duration::zero()));
    asked.wakeAt = time_point::max();
    if (m_environment.time.now() >= asked.waitUntil)
        giveUpWaiting(asked);
    const scatter_decision decision = asked.progress.decision(m_environment.time.now());
    if (decision == scatter_decision::Wait && m_environment.time.now() >= asked.hedgeAt)
        hedge(asked);
    settle(asked);
}

template <request_format Format>
http::reply query_service<Format>::answerOf(query &asked) const
{
    if (!asked.matched->queriesAllShards())
        return m_format.formatAnswer(std::move(asked.shards.front().answer->response));
    std::vector<const target_answer *> parts;
    for (const query_shard &part : asked.shards) {
        if (part.answer)
            parts.push_back(&*part.answer);
    }
    const std::size_t missing = asked.shards.size() - parts.size();
    return m_format.mergeAnswers(parts, missing, asked.matched->resultCount);
}

template <request_format Format>
http::reply query_service<Format>::failureOf(query &asked, request_failure &reason) const
{
    if (!asked.progress.mayHaveRun())
        reason = request_failure::NotRun;
    else if (m_environment.time.now() >= asked.progress.parameters().end)
        reason = request_failure::TimedOut;
    else
        reason = request_failure::TargetsFailed;
    if (asked.failure && reason != request_failure::NotRun)
        return m_format.formatAnswer(std::move(asked.failure->response));
    return m_format.formatFailure(reason, m_settings.retryAfter);
}

template <request_format Format>
void query_service<Format>::finish(query &asked, scatter_decision decision)
{
    request_failure reason = request_failure::NotRun;
    const bool isAnswer = decision == scatter_decision::Answer;
    const http::reply answer = isAnswer ? answerOf(asked) : failureOf(asked, reason);
    const bool isWhole = asked.progress.answeredCount() == asked.shards.size();
    const std::string_view outcome = isAnswer
        ? (isWhole ? "answered" : "partial")
        : (reason == request_failure::NotRun ? "refused" : "failed");
    report(asked, outcome, answer.status);
    const query_number number = asked.number;
    const auto exchange = std::move(asked.exchange);
    release(number);
    exchange->respond(answer);
}

template <request_format Format>
void query_service<Format>::report(const query &asked, std::string_view outcome, int status) const
{
    const duration took = m_environment.time.now() - asked.exchange->arrival();
    m_environment.metrics.countRequest(std::string(outcome), took);
    const bool isPlain = outcome == "answered" && took < asked.matched->latencyObjective;
    if (isPlain && asked.number % query_details::loggedSuccessInterval != 0)
        return;
    std::string gaps;
    for (const query_shard &part : asked.shards) {
        if (part.gap != shard_gap::None)
            gaps.append(gaps.empty() ? "" : ",")
                .append(part.service.value())
                .append(":")
                .append(nameOf(part.gap));
    }
    m_environment.log.limited(
        "request-ended",
        {{"id", asked.call.id.value()},
         {"route", asked.matched->name.value()},
         {"version", asked.activeConfiguration->version().value()},
         {"outcome", outcome},
         {"status", status},
         {"shards", fmt::format("{}/{}", asked.progress.answeredCount(), asked.shards.size())},
         {"ms", query_details::wholeMilliseconds(took).count()},
         {"retries", asked.retryCount},
         {"hedges", asked.hedgeCount},
         {"gaps", gaps}});
    if (outcome == "refused")
        explainRoom(asked);
}

template <request_format Format>
void query_service<Format>::explainRoom(const query &asked) const
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    const duration expected = asked.statistics->medianLatency();
    const time_point now = m_environment.time.now();
    for (const query_shard &part : asked.shards) {
        if (part.gap != shard_gap::NoRoom)
            continue;
        for (const target *known : m_environment.directory.targetsOf(part.service)) {
            m_environment.log.limited(
                "target-without-room",
                {{"id", asked.call.id.value()},
                 {"service", part.service.value()},
                 {"target", known->registration().instance.value()},
                 {"expected_us",
                  duration_cast<microseconds>(known->expectedLatency(expected, now)).count()},
                 {"limit_us", duration_cast<microseconds>(roomLimit(*asked.matched)).count()},
                 {"usual_us", duration_cast<microseconds>(expected).count()},
                 {"slowness", known->slowness(now)},
                 {"in_flight", known->inFlight()},
                 {"evacuated",
                  m_environment.directory.evacuated().contains(known->registration().dataCentre)},
                 {"leaving", known->registration().isLeaving}});
        }
    }
}

} // namespace mustardcourse::serving
