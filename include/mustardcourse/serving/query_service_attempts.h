#pragma once

// Definitions of query_service; include query_service.h instead.
// Attempts at targets: sending, outcomes, retries, hedges and cancellation.

#include <mustardcourse/serving/query_service.h>

namespace mustardcourse::serving {

template <request_format Format>
bool query_service<Format>::tryStartAttempt(active_query &query, std::size_t shardIndex)
{
    const target_choice choice = chooseTarget(query, shardIndex);
    if (choice.selectedTarget == nullptr) {
        query.shards[shardIndex].missingReason = choice.missingReason;
        return false;
    }
    startAttempt(query, shardIndex, choice);
    return true;
}

template <request_format Format>
void query_service<Format>::startAttempt(active_query &query, std::size_t shardIndex,
                                         const target_choice &choice)
{
    using namespace std::chrono_literals;
    target &selectedTarget = *choice.selectedTarget;
    query_shard &shard = query.shards[shardIndex];
    const time_point now = m_environment.time.now();
    const bool isIdempotent = query.progress.parameters().isIdempotent;
    const std::uint64_t number = ++m_lastAttemptNumber;

    http::exchange_request request;
    request.format = [this, callerRequest = query.callerRequest, deadline = query.deadline,
                      instance = selectedTarget.registration().instance] {
        const auto remainingTime =
            query_details::wholeMilliseconds(deadline - m_environment.time.now());
        return m_format.formatRequest(*callerRequest, instance, std::max(remainingTime, 1ms));
    };
    request.matchesRequest = [this, id = query.callerRequest->id](const http::response &response) {
        return m_format.matchesRequest(id, response);
    };
    request.onEnd = [this, number](http::exchange_result &&result) {
        onExchangeEnd(number, std::move(result));
    };
    if (!isIdempotent)
        request.maximumIdleTime = m_settings.maximumNonIdempotentIdleTime;
    request.isResponseBodyExpected = query.callerRequest->isResponseBodyExpected;

    attempt &newAttempt = m_attempts[number];
    newAttempt.queryNumber = query.number;
    newAttempt.shardIndex = shardIndex;
    newAttempt.service = shard.service;
    newAttempt.instance = selectedTarget.registration().instance;
    newAttempt.sentAt = now;
    newAttempt.baselineLatency = query.statistics->medianLatency();
    newAttempt.baselineLatency = scaled(
        newAttempt.baselineLatency, selectedTarget.queueingFactor(newAttempt.baselineLatency, now));
    newAttempt.isIdempotent = isIdempotent;
    newAttempt.statistics = query.statistics;
    newAttempt.fingerprint = query.callerRequest->fingerprint;
    newAttempt.life = query_details::lifeOf(selectedTarget.registration());
    newAttempt.isTest = m_environment.suspects.recordSent(newAttempt.fingerprint);
    if (newAttempt.isTest) {
        m_environment.metrics.suspectTests.Increment();
        m_environment.log.info("suspect-test",
                               {{"id", query.callerRequest->id.value()},
                                {"request", textOf(newAttempt.fingerprint)},
                                {"target", newAttempt.instance.value()}});
    }
    shard.triedTargets.push_back(newAttempt.instance);
    shard.missingReason = missing_shard_reason::Late;
    selectedTarget.recordSent(now);
    query.progress.recordSent(shardIndex);
    newAttempt.exchange =
        m_connections.send(selectedTarget.registration(), choice.connections, std::move(request));
}

template <request_format Format>
void query_service<Format>::onExchangeEnd(std::uint64_t number, http::exchange_result &&result)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end())
        return;
    attempt finishedAttempt = std::move(found->second);
    m_attempts.erase(found);
    finishedAttempt.hasTargetLeft = result.hasPeerLeft;
    finishedAttempt.connectionEnd = result.connectionEnd;

    const bool wasConnectionReused = result.wasConnectionReused;
    if (result.connectionTime > duration::zero())
        m_environment.metrics.connectionTime.Observe(
            std::chrono::duration<double>(result.connectionTime).count());
    attempt_outcome outcome = result.end == http::exchange_end::NotSent ? attempt_outcome::NotSent
                                                                        : attempt_outcome::Lost;
    std::optional<target_answer> answer;
    if (result.end == http::exchange_end::Answered) {
        answer = m_format.readAnswer(std::move(result.answer));
        // A body that ends with the connection may be truncated, so it is used only if no other
        // can be had: if the request must not be repeated, or no attempt succeeds. @see makeFailure
        const bool isCompletenessUnknown =
            answer->response.isDelimitedByClose && finishedAttempt.isIdempotent;
        outcome = isCompletenessUnknown && answer->outcome == attempt_outcome::Answered
            ? attempt_outcome::Lost
            : answer->outcome;
        recordReports(finishedAttempt, *answer);
    }
    m_environment.metrics.countAttempt(std::string(query_details::nameOf(outcome)));
    switch (outcome) {
    case attempt_outcome::Answered:
        finishedAttempt.statistics->recordAttempt(m_environment.time.now()
                                                  - finishedAttempt.sentAt);
        recordObservation(finishedAttempt, target_observation::Success);
        break;
    case attempt_outcome::NotRun:
        recordObservation(finishedAttempt,
                          answer->isFromOtherInstance ? target_observation::Replaced
                                                      : target_observation::Refused);
        break;
    case attempt_outcome::Lost:
        // The target may close an idle connection while the request is being sent; that is not a
        // failure of the target.
        recordObservation(finishedAttempt,
                          wasConnectionReused ? target_observation::Cancelled
                                              : target_observation::Failure);
        break;
    case attempt_outcome::Failed:
    case attempt_outcome::NotSent:
        recordObservation(finishedAttempt, target_observation::Failure);
        break;
    }
    recordSuspicion(finishedAttempt, outcome, answer);
    handleAttemptOutcome(finishedAttempt, outcome, std::move(answer));
    if (finishedAttempt.isTest)
        return retryWaitingRequests();
    retryWaitingShards(finishedAttempt.service);
    admitPending();
}

template <request_format Format>
void query_service<Format>::recordReports(const attempt &finishedAttempt,
                                          const target_answer &answer)
{
    const instance_id &instance = finishedAttempt.instance;
    target *reporter = m_environment.directory.find(instance);
    if (reporter == nullptr || answer.isFromOtherInstance)
        return;
    const time_point now = m_environment.time.now();
    if (answer.load)
        reporter->recordLoad(*answer.load, now);
    if (answer.isTargetLeaving && !reporter->isLeaving()) {
        m_environment.log.info("target-leaving", {{"target", instance.value()}});
        reporter->recordLeaving();
    }
    recordLimit(*reporter, finishedAttempt, answer);
    if (!answer.invalidPause.empty())
        m_environment.log.writeRateLimited(
            "target-pause-invalid",
            {{"target", instance.value()}, {"requested", answer.invalidPause}});
    if (!answer.requestedPause)
        return;
    m_environment.metrics.targetPauses.Increment();
    reporter->recordPause(*answer.requestedPause, now);
    m_environment.log.writeRateLimited(
        "target-paused",
        {{"target", instance.value()},
         {"ms", query_details::wholeMilliseconds(*answer.requestedPause).count()}});
}

template <request_format Format>
void query_service<Format>::recordLimit(target &reporter, const attempt &finishedAttempt,
                                        const target_answer &answer)
{
    const std::string &instance = reporter.registration().instance.value();
    if (answer.invalidLimit) {
        m_environment.log.writeRateLimited("target-limit-invalid",
                                           {{"target", instance}, {"limit", *answer.invalidLimit}});
        return;
    }
    if (!reporter.recordLimit(answer.namedLimit, finishedAttempt.sentAt, m_environment.time.now()))
        return;
    if (answer.namedLimit)
        m_environment.log.info("target-limited",
                               {{"target", instance},
                                {"per_s", *answer.namedLimit},
                                {"hosts", m_memberCounts.forRates}});
    else
        m_environment.log.info("target-unlimited", {{"target", instance}});
}

template <request_format Format>
void query_service<Format>::recordObservation(const attempt &finishedAttempt,
                                              target_observation observation)
{
    target *registeredTarget = m_environment.directory.find(finishedAttempt.instance);
    if (registeredTarget != nullptr)
        registeredTarget->recordOutcome(observation, finishedAttempt.sentAt,
                                        m_environment.time.now(), finishedAttempt.baselineLatency);
}

template <request_format Format>
void query_service<Format>::recordEndedTarget(const attempt &finishedAttempt)
{
    // An answer of another target proves the request harmless, so its end is awaited.
    const auto found = m_queries.find(finishedAttempt.queryNumber);
    if (found != m_queries.end())
        found->second->endedTargets.push_back(finishedAttempt.life);
    else if (!finishedAttempt.wasRequestAnswered)
        m_environment.suspects.recordEndedTarget(finishedAttempt.fingerprint, finishedAttempt.life);
}

template <request_format Format>
void query_service<Format>::recordSuspicion(const attempt &finishedAttempt, attempt_outcome outcome,
                                            const std::optional<target_answer> &answer)
{
    suspect_requests &suspects = m_environment.suspects;
    const request_fingerprint fingerprint = finishedAttempt.fingerprint;
    const bool wasRun = outcome != attempt_outcome::NotRun && outcome != attempt_outcome::NotSent;
    // A target that fails a request, or gives it up at its deadline, may not have run all of it.
    const bool isFailure = answer && answer->response.status >= query_details::firstFailureStatus;
    const bool hasTargetAnswered = wasRun && answer && !answer->signature.empty() && !isFailure;
    if (hasTargetAnswered && suspects.recordAnswer(fingerprint))
        m_environment.log.info("suspect-cleared", {{"request", textOf(fingerprint)}});
    else if (finishedAttempt.hasTargetLeft)
        recordEndedTarget(finishedAttempt);
    if (!finishedAttempt.isTest)
        return;
    if (wasRun)
        suspects.recordTestUnanswered(fingerprint);
    else
        suspects.recordTestNotRun(fingerprint);
}

template <request_format Format>
void query_service<Format>::handleAttemptOutcome(const attempt &finishedAttempt,
                                                 attempt_outcome outcome,
                                                 std::optional<target_answer> answer)
{
    const auto found = m_queries.find(finishedAttempt.queryNumber);
    if (found == m_queries.end())
        return;
    active_query &query = *found->second;
    query_shard &shard = query.shards[finishedAttempt.shardIndex];
    const bool isFirstAnswer = !query.progress.isAnswered(finishedAttempt.shardIndex);
    query.progress.recordOutcome(finishedAttempt.shardIndex, outcome);
    const bool canForwardResponse = answer && answer->isForwardable
        && (outcome == attempt_outcome::Failed || outcome == attempt_outcome::Lost);
    if (outcome == attempt_outcome::Answered && isFirstAnswer) {
        shard.answer = std::move(answer);
        shard.missingReason = missing_shard_reason::None;
    } else if (canForwardResponse && !query.matchedRoute->queriesAllShards())
        query.lastFailure = std::move(answer);
    if (outcome != attempt_outcome::Answered) {
        m_environment.log.writeRateLimited(
            "attempt-ended",
            {{"id", query.callerRequest->id.value()},
             {"target", finishedAttempt.instance.value()},
             {"service", finishedAttempt.service.value()},
             {"end", query_details::nameOf(outcome)},
             {"connection", query_details::nameOf(finishedAttempt.connectionEnd)},
             {"target_left", finishedAttempt.hasTargetLeft},
             {"request", textOf(query.callerRequest->fingerprint)}});
        // The attempt did not reach the target, so it caused none of the load that the budget
        // limits.
        if (outcome == attempt_outcome::NotSent && shard.triedTargets.size() > 1)
            m_budgets.of(shard.service).refund();
        retry(query, finishedAttempt.shardIndex);
    }
    finishOrSchedule(query);
}

template <request_format Format>
void query_service<Format>::retry(active_query &query, std::size_t shardIndex)
{
    query_shard &shard = query.shards[shardIndex];
    if (query.progress.isAnswered(shardIndex) || query.progress.isRunning(shardIndex))
        return;
    if (!query.progress.mayRetry(shardIndex)) {
        shard.missingReason = missing_shard_reason::Exhausted;
        query.progress.giveUp(shardIndex);
        return;
    }
    limits::retry_budget &budget = m_budgets.of(shard.service);
    if (!budget.trySpend()) {
        m_environment.metrics.budgetDenials.Increment();
        shard.missingReason = missing_shard_reason::NoBudget;
        query.progress.giveUp(shardIndex);
        return;
    }
    if (tryStartAttempt(query, shardIndex)) {
        ++query.retryCount;
        m_environment.metrics.retries.Increment();
        return;
    }
    const time_point cutoff = query.progress.parameters().cutoff;
    if (shard.missingReason == missing_shard_reason::NoCapacity
        && m_environment.time.now() < cutoff)
        return waitForCapacity(query, shardIndex, cutoff);
    budget.refund();
    query.progress.giveUp(shardIndex);
}

template <request_format Format>
double query_service<Format>::reservedFromHedges(const limits::retry_budget &budget,
                                                 double windowProgress)
{
    using namespace query_details;
    const double alwaysReserved =
        std::clamp(reservedFraction * (budget.reserve() - 2), 0.0, maximumReservedAttempts);
    const double initiallyReserved = std::max(budget.reserve() - 1 - alwaysReserved, 0.0);
    return alwaysReserved + (1 - windowProgress) * initiallyReserved;
}

template <request_format Format>
void query_service<Format>::hedge(active_query &query)
{
    const time_point now = m_environment.time.now();
    const double windowProgress = query.hedgeWindow.progressAt(now - query.hedgeWindowStart);
    bool shouldTryAgain = false;
    for (std::size_t shardIndex = 0; shardIndex < query.shards.size(); ++shardIndex) {
        if (!query.progress.mayHedge(shardIndex))
            continue;
        limits::retry_budget &budget = m_budgets.of(query.shards[shardIndex].service);
        if (!budget.trySpend(reservedFromHedges(budget, windowProgress))) {
            if (windowProgress >= 1)
                m_environment.metrics.budgetDenials.Increment();
            shouldTryAgain = true;
            continue;
        }
        if (!tryStartAttempt(query, shardIndex)) {
            budget.refund();
            shouldTryAgain = true;
            continue;
        }
        ++query.hedgeCount;
        m_environment.metrics.hedges.Increment();
    }
    const time_point nextTry = now + query_details::hedgeInterval;
    query.nextHedgeTime =
        shouldTryAgain && nextTry < query.progress.parameters().end ? nextTry : time_point::max();
}

template <request_format Format>
void query_service<Format>::onCallerDisconnect(query_number number)
{
    const auto found = m_queries.find(number);
    if (found == m_queries.end())
        return;
    reportEnd(*found->second, "caller-left", 0);
    removeQuery(number);
}

template <request_format Format>
void query_service<Format>::removeQuery(query_number number)
{
    const time_point now = m_environment.time.now();
    const auto found = m_queries.find(number);
    if (found == m_queries.end())
        return;
    const active_query &query = *found->second;
    cancelParts(query);
    m_partCount -= query.part ? 1 : 0;
    const time_point deadline = query.deadline;
    const bool isAnswered = query.progress.answeredCount() > 0;
    if (!isAnswered) {
        for (const target_life life : query.endedTargets)
            m_environment.suspects.recordEndedTarget(query.callerRequest->fingerprint, life);
    }
    bool hasAttemptToCancel = false;
    for (auto &[attemptNumber, abandonedAttempt] : m_attempts) {
        if (abandonedAttempt.queryNumber != number)
            continue;
        abandonedAttempt.queryNumber = 0;
        abandonedAttempt.wasRequestAnswered = isAnswered;
        // A non-idempotent request may run until its deadline, as cancelling would leave its result
        // unknown; then the target stops its work as well.
        const time_point end = abandonedAttempt.isIdempotent ? now : std::max(now, deadline);
        abandonedAttempt.cancelAt = end + m_settings.abandonedAttemptTime;
        hasAttemptToCancel = true;
    }
    m_queries.erase(number);
    if (hasAttemptToCancel && !m_isCancelTimerRunning) {
        m_isCancelTimerRunning = true;
        m_cancelTimer.start(query_details::cancelInterval);
    }
}

template <request_format Format>
void query_service<Format>::cancelExpiredAttempts()
{
    const time_point now = m_environment.time.now();
    bool hasAttemptToCancel = false;
    std::set<service_id> freedServices;
    for (auto attemptEntry = m_attempts.begin(); attemptEntry != m_attempts.end();) {
        const attempt &abandonedAttempt = attemptEntry->second;
        hasAttemptToCancel = hasAttemptToCancel
            || (abandonedAttempt.queryNumber == 0 && abandonedAttempt.cancelAt > now);
        if (abandonedAttempt.cancelAt > now) {
            ++attemptEntry;
            continue;
        }
        m_connections.cancel(abandonedAttempt.instance, abandonedAttempt.exchange);
        m_environment.metrics.countAttempt("cancelled");
        recordObservation(abandonedAttempt, target_observation::Cancelled);
        if (abandonedAttempt.isTest)
            m_environment.suspects.recordTestUnanswered(abandonedAttempt.fingerprint);
        freedServices.insert(abandonedAttempt.service);
        attemptEntry = m_attempts.erase(attemptEntry);
    }
    m_isCancelTimerRunning = hasAttemptToCancel;
    if (hasAttemptToCancel)
        m_cancelTimer.start(query_details::cancelInterval);
    for (const service_id &service : freedServices)
        retryWaitingShards(service);
    if (!freedServices.empty())
        admitPending();
}

} // namespace mustardcourse::serving
