#pragma once

// Definitions of query_service; include query_service.h instead.
// Sending to targets, what their answers teach, retries and second attempts.

#include <mustardcourse/serving/query_service.h>

namespace mustardcourse::serving {

template <request_format Format>
bool query_service<Format>::send(query &asked, std::size_t shard)
{
    const target_choice choice = chooseFor(asked, shard);
    if (choice.chosen == nullptr) {
        asked.shards[shard].gap = choice.gap;
        return false;
    }
    transmit(asked, shard, choice);
    return true;
}

template <request_format Format>
void query_service<Format>::transmit(query &asked, std::size_t shard, const target_choice &choice)
{
    using namespace std::chrono_literals;
    target &chosen = *choice.chosen;
    query_shard &part = asked.shards[shard];
    const time_point now = m_environment.time.now();
    const auto left = query_details::wholeMilliseconds(asked.deadline - now);
    const bool isIdempotent = asked.progress.parameters().isIdempotent;
    const std::uint64_t number = ++m_lastAttempt;

    http::exchange_request request;
    request.bytes =
        m_format.formatRequest(asked.call, chosen.registration().instance, std::max(left, 1ms));
    request.matchesRequest = [this, id = asked.call.id](const http::response &response) {
        return m_format.matchesRequest(id, response);
    };
    request.onEnd = [this, number](http::exchange_result &&result) {
        onExchangeEnd(number, std::move(result));
    };
    if (!isIdempotent)
        request.maximumIdleTime = m_settings.longestIdleForOnce;
    request.isBodyExpected = asked.call.isBodyExpected;

    attempt &sent = m_attempts[number];
    sent.owner = asked.number;
    sent.shard = shard;
    sent.service = part.service;
    sent.instance = chosen.registration().instance;
    sent.sentAt = now;
    sent.expected = asked.statistics->medianLatency();
    sent.expected = scaled(sent.expected, chosen.queueingFactor(sent.expected, now));
    sent.isIdempotent = isIdempotent;
    sent.statistics = asked.statistics;
    part.tried.push_back(sent.instance);
    part.gap = shard_gap::Late;
    chosen.recordSent(now);
    asked.progress.recordSent(shard);
    sent.exchange =
        m_connections.send(chosen.registration(), choice.connections, std::move(request));
}

template <request_format Format>
void query_service<Format>::onExchangeEnd(std::uint64_t number, http::exchange_result &&result)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end())
        return;
    const attempt ended = std::move(found->second);
    m_attempts.erase(found);

    const bool wasConnectionReused = result.wasConnectionReused;
    attempt_outcome end = result.end == http::exchange_end::NotSent ? attempt_outcome::NotSent
                                                                    : attempt_outcome::Lost;
    std::optional<target_answer> answer;
    if (result.end == http::exchange_end::Answered) {
        answer = m_format.readAnswer(std::move(result.answer));
        // Nothing shows whether such a body is whole, so it is used only where none can be had
        // again. @see failureOf
        const bool isDoubtful = answer->response.isDelimitedByClose && ended.isIdempotent;
        end = isDoubtful && answer->end == attempt_outcome::Answered ? attempt_outcome::Lost
                                                                     : answer->end;
        target *known = m_environment.directory.find(ended.instance);
        if (known != nullptr && answer->load)
            known->recordLoad(*answer->load, m_environment.time.now());
    }
    m_environment.metrics.countAttempt(std::string(query_details::nameOf(end)));
    switch (end) {
    case attempt_outcome::Answered:
        ended.statistics->recordAttempt(m_environment.time.now() - ended.sentAt);
        noteEvidence(ended, target_observation::Success);
        break;
    case attempt_outcome::NotRun:
        noteEvidence(ended,
                     answer->isFromOtherInstance ? target_observation::Replaced
                                                 : target_observation::Refused);
        break;
    case attempt_outcome::Lost:
        // A kept connection that the target closed as the request was sent is nobody's failure.
        noteEvidence(ended,
                     wasConnectionReused ? target_observation::Cancelled
                                         : target_observation::Failure);
        break;
    case attempt_outcome::Failed:
    case attempt_outcome::NotSent:
        noteEvidence(ended, target_observation::Failure);
        break;
    }
    takeAnswer(ended, end, std::move(answer));
    wakeWaiting(ended.service);
    admitEntering();
}

template <request_format Format>
void query_service<Format>::noteEvidence(const attempt &ended, target_observation evidence)
{
    target *known = m_environment.directory.find(ended.instance);
    if (known != nullptr)
        known->recordOutcome(evidence, ended.sentAt, m_environment.time.now(), ended.expected);
}

template <request_format Format>
void query_service<Format>::takeAnswer(const attempt &ended, attempt_outcome end,
                                       std::optional<target_answer> answer)
{
    const auto found = m_queries.find(ended.owner);
    if (found == m_queries.end())
        return;
    query &asked = *found->second;
    query_shard &part = asked.shards[ended.shard];
    const bool isFirstAnswer = !asked.progress.isAnswered(ended.shard);
    asked.progress.recordOutcome(ended.shard, end);
    const bool isPassable = end == attempt_outcome::Failed || end == attempt_outcome::Lost;
    if (end == attempt_outcome::Answered && isFirstAnswer) {
        part.answer = std::move(answer);
        part.gap = shard_gap::None;
    } else if (isPassable && answer && !asked.matched->queriesAllShards())
        asked.failure = std::move(answer);
    if (end != attempt_outcome::Answered) {
        m_environment.log.limited("attempt-ended",
                                  {{"id", asked.call.id.value()},
                                   {"target", ended.instance.value()},
                                   {"service", ended.service.value()},
                                   {"end", query_details::nameOf(end)}});
        // Nothing was run, so the attempt costs the target nothing that the budget guards.
        if (end == attempt_outcome::NotSent && part.tried.size() > 1)
            m_budgets.of(part.service).refund();
        retry(asked, ended.shard);
    }
    settle(asked);
}

template <request_format Format>
void query_service<Format>::retry(query &asked, std::size_t shard)
{
    query_shard &part = asked.shards[shard];
    if (asked.progress.isAnswered(shard) || asked.progress.isRunning(shard))
        return;
    if (!asked.progress.mayRetry(shard)) {
        part.gap = shard_gap::Exhausted;
        asked.progress.giveUp(shard);
        return;
    }
    limits::retry_budget &budget = m_budgets.of(part.service);
    if (!budget.trySpend()) {
        m_environment.metrics.budgetDenials.Increment();
        part.gap = shard_gap::NoBudget;
        asked.progress.giveUp(shard);
        return;
    }
    if (send(asked, shard)) {
        ++asked.retryCount;
        m_environment.metrics.retries.Increment();
        return;
    }
    const time_point cutoff = asked.progress.parameters().cutoff;
    if (part.gap == shard_gap::NoRoom && m_environment.time.now() < cutoff)
        return await(asked, shard, cutoff);
    budget.refund();
    asked.progress.giveUp(shard);
}

template <request_format Format>
double query_service<Format>::keptFromHedges(const limits::retry_budget &budget, double progress)
{
    using namespace query_details;
    const double usual =
        std::clamp(reservePartKept * (budget.reserve() - 2), 0.0, mostAttemptsKept);
    const double rest = std::max(budget.reserve() - 1 - usual, 0.0);
    return usual + (1 - progress) * rest;
}

template <request_format Format>
void query_service<Format>::hedge(query &asked)
{
    const time_point now = m_environment.time.now();
    const double progress = asked.hedging.progressAt(now - asked.sentAt);
    bool isAnyLeft = false;
    for (std::size_t shard = 0; shard < asked.shards.size(); ++shard) {
        if (!asked.progress.mayHedge(shard))
            continue;
        limits::retry_budget &budget = m_budgets.of(asked.shards[shard].service);
        if (!budget.trySpend(keptFromHedges(budget, progress))) {
            if (progress >= 1)
                m_environment.metrics.budgetDenials.Increment();
            isAnyLeft = true;
            continue;
        }
        if (!send(asked, shard)) {
            budget.refund();
            isAnyLeft = true;
            continue;
        }
        ++asked.hedgeCount;
        m_environment.metrics.hedges.Increment();
    }
    const time_point again = now + query_details::hedgeInterval;
    asked.hedgeAt =
        isAnyLeft && again < asked.progress.parameters().end ? again : time_point::max();
}

template <request_format Format>
void query_service<Format>::abandon(query_number number)
{
    const auto found = m_queries.find(number);
    if (found == m_queries.end())
        return;
    report(*found->second, "caller-left", 0);
    release(number);
}

template <request_format Format>
void query_service<Format>::release(query_number number)
{
    const time_point expiry = m_environment.time.now() + m_settings.abandonedAttemptTime;
    bool isAnyLeft = false;
    for (auto &[attemptNumber, left] : m_attempts) {
        if (left.owner != number)
            continue;
        left.owner = 0;
        // What must not be repeated is left to run to its end.
        if (left.isIdempotent) {
            left.expiresAt = expiry;
            isAnyLeft = true;
        }
    }
    m_queries.erase(number);
    if (isAnyLeft && !m_isExpiryRunning) {
        m_isExpiryRunning = true;
        m_expiry.start(query_details::expiryInterval);
    }
}

template <request_format Format>
void query_service<Format>::expireAttempts()
{
    const time_point now = m_environment.time.now();
    bool isAnyLeft = false;
    std::set<service_id> freed;
    for (auto each = m_attempts.begin(); each != m_attempts.end();) {
        const attempt &left = each->second;
        isAnyLeft = isAnyLeft || (left.owner == 0 && left.expiresAt > now);
        if (left.expiresAt > now) {
            ++each;
            continue;
        }
        m_connections.cancel(left.instance, left.exchange);
        m_environment.metrics.countAttempt("cancelled");
        noteEvidence(left, target_observation::Cancelled);
        freed.insert(left.service);
        each = m_attempts.erase(each);
    }
    m_isExpiryRunning = isAnyLeft;
    if (isAnyLeft)
        m_expiry.start(query_details::expiryInterval);
    for (const service_id &service : freed)
        wakeWaiting(service);
    if (!freed.empty())
        admitEntering();
}

} // namespace mustardcourse::serving
