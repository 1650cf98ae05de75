#pragma once

// Definitions of query_service; include query_service.h instead.
// The end of a request: its timer, its answer, its log lines and metrics.

#include <mustardcourse/serving/query_service.h>

namespace mustardcourse::serving {

template <request_format Format>
duration query_service<Format>::answerMargin() const
{
    // On a busy host, both reading the request and sending the answer are delayed.
    return m_settings.answerMargin
        + 2 * m_timerDelay.quantile(query_details::timerDelayQuantile, duration::zero());
}

template <request_format Format>
void query_service<Format>::finishOrSchedule(active_query &query)
{
    const scatter_decision decision = query.progress.decision(m_environment.time.now());
    if (decision == scatter_decision::Fail && mayBeRefusedWhole(query)) {
        query.waitUntil = query.refusalDeadline;
        return scheduleWakeUp(query);
    }
    if (decision != scatter_decision::Wait)
        return finish(query, decision);
    scheduleWakeUp(query);
}

template <request_format Format>
void query_service<Format>::scheduleWakeUp(active_query &query)
{
    const scatter_parameters &parameters = query.progress.parameters();
    const time_point now = m_environment.time.now();
    time_point next = std::min({parameters.end, query.nextHedgeTime, query.waitUntil});
    if (parameters.cutoff > now)
        next = std::min(next, parameters.cutoff);
    if (next == query.nextWakeUp)
        return;
    query.nextWakeUp = next;
    query.timer->start(next - now);
}

template <request_format Format>
void query_service<Format>::recordTimerDelay(time_point due)
{
    // What delays several timers at once counts once, however many requests are waiting.
    if (due < m_timerDelayRecordedAt)
        return;
    m_timerDelayRecordedAt = m_environment.time.now();
    m_timerDelay.record(std::max(m_timerDelayRecordedAt - due, duration::zero()));
}

template <request_format Format>
void query_service<Format>::onTimer(query_number number)
{
    const auto found = m_queries.find(number);
    if (found == m_queries.end())
        return;
    active_query &query = *found->second;
    recordTimerDelay(query.nextWakeUp);
    query.nextWakeUp = time_point::max();
    if (m_environment.time.now() >= query.waitUntil)
        giveUpWaiting(query);
    const scatter_decision decision = query.progress.decision(m_environment.time.now());
    if (decision == scatter_decision::Wait && m_environment.time.now() >= query.nextHedgeTime)
        hedge(query);
    finishOrSchedule(query);
}

template <request_format Format>
std::vector<const target_answer *> query_service<Format>::answersOf(const active_query &query)
{
    std::vector<const target_answer *> answers;
    for (const query_shard &shard : query.shards) {
        if (shard.answer)
            answers.push_back(&*shard.answer);
    }
    return answers;
}

template <request_format Format>
http::reply query_service<Format>::makeAnswer(active_query &query) const
{
    if (!query.matchedRoute->queriesAllShards())
        return m_format.formatAnswer(std::move(query.shards.front().answer->response));
    // One answer can hold those of several shards. @see recordPart
    const std::size_t missingCount = query.shards.size() - query.progress.answeredCount();
    return m_format.mergeAnswers(answersOf(query), missingCount, query.matchedRoute->resultCount);
}

template <request_format Format>
http::reply query_service<Format>::makeFailure(active_query &query, request_failure &reason) const
{
    if (!query.progress.mayHaveRun())
        reason = request_failure::NotRun;
    else if (m_serviceEnd.isOver || m_environment.time.now() >= query.progress.parameters().end)
        reason = request_failure::TimedOut;
    else
        reason = request_failure::TargetsFailed;
    if (query.lastFailure && reason != request_failure::NotRun)
        return m_format.formatAnswer(std::move(query.lastFailure->response));
    return m_format.formatFailure(reason, retryAfter(query));
}

template <request_format Format>
duration query_service<Format>::retryAfter(const active_query &query) const
{
    duration longest = std::max(m_settings.retryAfter, query.refusalDelay);
    for (const query_shard &shard : query.shards) {
        if (shard.missingReason == missing_shard_reason::Suspect)
            return std::max(longest,
                            m_environment.suspects.remainingTime(query.callerRequest->fingerprint));
        if (shard.missingReason != missing_shard_reason::NoTarget)
            continue;
        if (const auto pauseEnd = m_environment.directory.earliestPauseEnd(shard.service))
            longest = std::max(longest, *pauseEnd - m_environment.time.now());
    }
    return longest;
}

template <request_format Format>
void query_service<Format>::finish(active_query &query, scatter_decision decision)
{
    if (query.part)
        return finishPart(query, decision);
    request_failure reason = request_failure::NotRun;
    const bool hasAnswer = decision == scatter_decision::Answer;
    const http::reply reply = hasAnswer ? makeAnswer(query) : makeFailure(query, reason);
    const bool isComplete = query.progress.answeredCount() == query.shards.size();
    const std::string_view outcome = hasAnswer
        ? (isComplete ? "answered" : "partial")
        : (reason == request_failure::NotRun ? "refused" : "failed");
    reportEnd(query, outcome, reply.status);
    const query_number number = query.number;
    const auto exchange = std::move(query.exchange);
    removeQuery(number);
    exchange->respond(reply);
}

template <request_format Format>
void query_service<Format>::reportEnd(const active_query &query, std::string_view outcome,
                                      int status) const
{
    const duration elapsed = m_environment.time.now() - query.arrival;
    if (query.part)
        m_environment.metrics.countGatheredPart(std::string(outcome));
    else
        m_environment.metrics.countRequest(std::string(outcome), elapsed);
    const bool isOrdinarySuccess =
        outcome == "answered" && elapsed < query.matchedRoute->latencyObjective;
    if (isOrdinarySuccess && query.number % query_details::loggedSuccessInterval != 0)
        return;
    std::string missingShards;
    for (const query_shard &shard : query.shards) {
        if (shard.missingReason != missing_shard_reason::None)
            missingShards.append(missingShards.empty() ? "" : ",")
                .append(shard.service.value())
                .append(":")
                .append(nameOf(shard.missingReason));
    }
    m_environment.log.writeRateLimited(
        query.part ? "part-ended" : "request-ended",
        {{"id", query.callerRequest->id.value()},
         {"route", query.matchedRoute->name.value()},
         {"version", query.activeConfiguration->version().value()},
         {"outcome", outcome},
         {"status", status},
         {"shards", fmt::format("{}/{}", query.progress.answeredCount(), query.shards.size())},
         {"ms", query_details::wholeMilliseconds(elapsed).count()},
         {"retries", query.retryCount},
         {"hedges", query.hedgeCount},
         {"parts", query.parts.size()},
         {"request", textOf(query.callerRequest->fingerprint)},
         {"gaps", missingShards}});
    if (outcome == "refused")
        logMissingCapacity(query);
}

template <request_format Format>
void query_service<Format>::logMissingCapacity(const active_query &query) const
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    const duration medianLatency = query.statistics->medianLatency();
    const time_point now = m_environment.time.now();
    for (const query_shard &shard : query.shards) {
        if (shard.missingReason != missing_shard_reason::NoCapacity)
            continue;
        for (const target *registeredTarget : m_environment.directory.targetsOf(shard.service)) {
            m_environment.log.writeRateLimited(
                "target-without-room",
                {{"id", query.callerRequest->id.value()},
                 {"service", shard.service.value()},
                 {"target", registeredTarget->registration().instance.value()},
                 {"expected_us",
                  duration_cast<microseconds>(registeredTarget->expectedLatency(medianLatency, now))
                      .count()},
                 {"limit_us",
                  duration_cast<microseconds>(capacityLatencyLimit(*query.matchedRoute)).count()},
                 {"usual_us", duration_cast<microseconds>(medianLatency).count()},
                 {"slowness", registeredTarget->slowness(now)},
                 {"in_flight", registeredTarget->inFlight()},
                 {"evacuated",
                  m_environment.directory.evacuated().contains(
                      registeredTarget->registration().dataCentre)},
                 {"leaving", registeredTarget->registration().isLeaving}});
        }
    }
}

} // namespace mustardcourse::serving
