#pragma once

// Definitions of query_service; include query_service.h instead.

#include <mustardcourse/serving/query_service.h>

namespace mustardcourse::serving {

namespace query_details {

/** Interval of the search for attempts that outlived their requests too long. */
constexpr std::chrono::milliseconds expiryInterval{40};
/** Interval at which a second attempt is tried again that had no budget or no target. */
constexpr std::chrono::milliseconds hedgeInterval{6};
/** Interval at which waiting requests look for room again. */
constexpr std::chrono::milliseconds entryInterval{4};
/** Part of the reserve that second attempts leave to attempts that failed, but one attempt at the
    most; of a small reserve, as where many hosts share the bound, it is less. */
constexpr double budgetKept = 0.2;
/** Part of the timers that run no later than what is reckoned with. */
constexpr double lagQuantile = 0.9;
/** One in this number of successes is logged. */
constexpr std::size_t loggedSuccessInterval = 64;

inline std::chrono::milliseconds wholeMilliseconds(duration length)
{
    return std::chrono::floor<std::chrono::milliseconds>(length);
}

inline std::string_view nameOf(attempt_end end)
{
    switch (end) {
    case attempt_end::Answered:
        return "answered";
    case attempt_end::Failed:
        return "failed";
    case attempt_end::NotRun:
        return "not-run";
    case attempt_end::NotSent:
        return "not-sent";
    case attempt_end::Lost:
        return "lost";
    }
    return "unknown";
}

} // namespace query_details

template <request_format Format>
query_service<Format>::query_service(query_environment environment, Format format,
                                     query_settings settings, shared_retry_terms retryTerms)
    : m_environment(environment)
    , m_format(std::move(format))
    , m_settings(settings)
    , m_budgets(retryTerms)
    , m_connections(environment.loop, environment.time, environment.metrics)
    , m_expiry(environment.loop, [this] { expireAttempts(); })
    , m_opening(environment.loop, [this] { releaseEarly(); })
    , m_entry(environment.loop, [this] { admitEntering(); })
{ }

template <request_format Format>
void query_service<Format>::open()
{
    m_isOpen = true;
    releaseEarly();
}

template <request_format Format>
void query_service<Format>::releaseEarly()
{
    m_opening.stop();
    auto early = std::exchange(m_early, {});
    for (auto &exchange : early)
        dispatch(std::move(exchange));
}

template <request_format Format>
void query_service<Format>::serve(std::unique_ptr<http::caller_exchange> exchange)
{
    if (m_isOpen)
        return dispatch(std::move(exchange));
    if (m_early.empty())
        m_opening.start(m_settings.openingTime);
    m_early.push_back(std::move(exchange));
}

template <request_format Format>
void query_service<Format>::setMemberCount(std::size_t count)
{
    m_memberCount = count;
    m_budgets.setMemberCount(count);
    m_connections.setMemberCount(count);
}

template <request_format Format>
void query_service<Format>::setSettings(const query_settings &settings,
                                        const shared_retry_terms &retryTerms)
{
    m_settings = settings;
    m_budgets.setTerms(retryTerms);
}

template <request_format Format>
void query_service<Format>::dispatch(std::unique_ptr<http::caller_exchange> exchange)
{
    const auto refuse = [&](refusal reason) {
        const http::reply answer = m_format.refuse(reason, m_settings.retryAfter);
        m_environment.metrics.countRequest("refused", duration::zero());
        m_environment.log.limited(
            "request-refused",
            {{"target", exchange->received().target},
             {"status", answer.status},
             {"version", m_configuration ? m_configuration->version().value() : std::uint64_t{0}}});
        exchange->respond(answer);
    };
    if (!m_configuration)
        return refuse(refusal::NotRun);
    auto call = m_format.readCall(exchange->received());
    if (!call)
        return refuse(refusal::BadRequest);
    const route *matched = m_configuration->match(call->hostName, exchange->received().target);
    if (matched == nullptr)
        return refuse(refusal::NoRoute);
    start(std::move(exchange), std::move(*call), *matched);
}

template <request_format Format>
std::shared_ptr<route_statistics> query_service<Format>::statisticsOf(const route &matched)
{
    std::shared_ptr<route_statistics> &known = m_statistics[matched.name];
    if (!known)
        known = std::make_shared<route_statistics>();
    return known;
}

template <request_format Format>
bool query_service<Format>::isLate(duration firstTry, const route &matched)
{
    return firstTry > matched.latencyObjective / 2;
}

template <request_format Format>
scatter_terms query_service<Format>::termsFor(const http::caller_exchange &exchange,
                                              const caller_call &call, const route &matched,
                                              const route_statistics &statistics) const
{
    const duration deadline = call.deadline.value_or(matched.timeout);
    const duration travel = m_settings.callerTravel;
    // A caller that connected for this request has waited for the handshake as well.
    const duration connecting = exchange.isFirstOfConnection() ? 2 * travel : duration::zero();
    // A later try that cannot meet the objective any more is served as if it were the first.
    const duration firstTry = statistics.ageOf(deadline);
    const duration counted = isLate(firstTry, matched) ? duration::zero() : firstTry;
    const duration age = travel + connecting + counted;
    const duration untilObjective = matched.latencyObjective - age - travel;
    const duration untilDeadline = deadline - 2 * travel;
    const duration limit = std::min<duration>(matched.timeout, untilDeadline);
    scatter_terms terms;
    terms.shardCount = matched.asksAllShards() ? matched.shards.size() : 1;
    terms.leastAnswers = leastAnswersFor(matched.leastShardShare, terms.shardCount);
    terms.maximumTargets = std::max<std::size_t>(matched.maximumTargets, 1);
    terms.isIdempotent = matched.isIdempotent;
    terms.cutoff = exchange.arrival() + untilObjective - answerMargin();
    terms.end = exchange.arrival() + limit - m_settings.answerMargin;
    return terms;
}

template <request_format Format>
duration query_service<Format>::answerMargin() const
{
    // A busy host reads a request late and answers it late.
    return m_settings.answerMargin
        + 2 * m_lag.quantile(query_details::lagQuantile, duration::zero());
}

template <request_format Format>
void query_service<Format>::start(std::unique_ptr<http::caller_exchange> exchange, caller_call call,
                                  const route &matched)
{
    auto statistics = statisticsOf(matched);
    const duration deadline = call.deadline.value_or(matched.timeout);
    statistics->recordDeadline(deadline);
    const scatter_terms terms = termsFor(*exchange, call, matched, *statistics);
    const bool isLateTry = isLate(statistics->ageOf(deadline), matched);
    const query_number number = ++m_lastQuery;
    auto created = std::make_unique<query>(number, std::move(call), terms);
    query &asked = *created;
    m_queries.emplace(number, std::move(created));
    asked.inForce = m_configuration;
    asked.matched = &matched;
    asked.statistics = std::move(statistics);
    asked.isLateTry = isLateTry;
    asked.deadline = exchange->arrival() + deadline - 2 * m_settings.callerTravel;
    asked.exchange = std::move(exchange);
    asked.exchange->onGone([this, number] { abandon(number); });
    asked.timer =
        std::make_unique<net::timer>(m_environment.loop, [this, number] { onTimer(number); });
    if (matched.asksAllShards()) {
        for (const service_id &service : matched.shards)
            asked.shards.push_back({service, {}, {}, shard_gap::Late});
    } else {
        const service_id &service = asked.statistics->rotation.next(matched.services);
        asked.shards.push_back({service, {}, {}, shard_gap::Late});
    }
    const time_point now = m_environment.time.now();
    if (terms.isIdempotent && terms.maximumTargets > 1)
        asked.hedgeAt = now + asked.statistics->hedgeDelay(terms.cutoff - now);
    asked.enteredAt = now;
    enter(asked);
    settle(asked);
}

template <request_format Format>
void query_service<Format>::enter(query &asked)
{
    for (const query_shard &part : asked.shards)
        m_budgets.of(part.service).earn(1);
    if (admit(asked))
        return;
    asked.waitUntil = m_environment.time.now() + waitFor(asked);
    m_entering.insert(keyOf(asked));
    m_entry.start(query_details::entryInterval);
}

template <request_format Format>
duration query_service<Format>::waitFor(const query &asked) const
{
    const duration objective = asked.matched->latencyObjective;
    if (!asked.isLateTry)
        return std::chrono::duration_cast<duration>(m_settings.waitPart * objective);
    // The caller will not come again, and it still waits.
    const duration left = asked.progress.terms().end - m_environment.time.now();
    return std::min(objective, left / 2);
}

template <request_format Format>
bool query_service<Format>::admit(query &asked)
{
    std::vector<target_choice> choices;
    std::size_t answerable = 0;
    for (std::size_t shard = 0; shard < asked.shards.size(); ++shard) {
        choices.push_back(chooseFor(asked, shard));
        answerable += choices.back().chosen != nullptr ? 1 : 0;
    }
    // Work on the other shards would be wasted where too few can answer in time.
    if (answerable < asked.progress.terms().leastAnswers) {
        for (std::size_t shard = 0; shard < asked.shards.size(); ++shard)
            asked.shards[shard].gap = choices[shard].gap;
        return false;
    }
    for (std::size_t shard = 0; shard < asked.shards.size(); ++shard) {
        const target_choice &choice = choices[shard];
        if (choice.chosen != nullptr) {
            transmit(asked, shard, choice);
            continue;
        }
        asked.shards[shard].gap = choice.gap;
        if (choice.gap == shard_gap::NoTarget)
            asked.progress.giveUp(shard);
        else
            await(asked, shard, m_environment.time.now() + waitFor(asked));
    }
    return true;
}

template <request_format Format>
void query_service<Format>::admitEntering()
{
    while (!m_entering.empty()) {
        const query_number number = std::get<query_number>(*m_entering.begin());
        const auto found = m_queries.find(number);
        if (found != m_queries.end()) {
            query &asked = *found->second;
            asked.waitUntil = time_point::max();
            if (!admit(asked)) {
                asked.waitUntil = asked.enteredAt + waitFor(asked);
                // Targets also become free by what other hosts ask of them.
                m_entry.start(query_details::entryInterval);
                return;
            }
            m_entering.erase(m_entering.begin());
            settle(asked);
            continue;
        }
        m_entering.erase(m_entering.begin());
    }
}

template <request_format Format>
void query_service<Format>::await(query &asked, std::size_t shard, time_point until)
{
    query_shard &part = asked.shards[shard];
    part.isWaiting = true;
    asked.waitUntil = std::min(asked.waitUntil, until);
    m_waiting[part.service].emplace(asked.matched->priority, asked.progress.terms().end,
                                    asked.number, shard);
}

template <request_format Format>
typename query_service<Format>::target_choice query_service<Format>::chooseFor(const query &asked,
                                                                               std::size_t shard)
{
    const query_shard &part = asked.shards[shard];
    const service_terms *terms = asked.inForce->findService(part.service);
    const std::size_t connections = terms == nullptr ? 1 : terms->maximumConnections;
    const double coldRate = terms == nullptr ? 0 : terms->coldRequestsPerSecond;
    const duration expected = asked.statistics->usualLatency();
    const duration limit = roomLimit(*asked.matched);
    const time_point now = m_environment.time.now();
    bool isAnyUsable = false;
    target *chosen = m_environment.directory.choose(
        {part.service, expected, part.tried}, [&](const target &candidate) {
            isAnyUsable = true;
            return candidate.mayAskCold(coldRate, m_memberCount, now)
                && candidate.hasRoom(expected, limit, now)
                && m_connections.hasRoom(candidate.registration(), connections);
        });
    const shard_gap gap = isAnyUsable ? shard_gap::NoRoom : shard_gap::NoTarget;
    return {chosen, chosen != nullptr ? shard_gap::None : gap, connections};
}

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
    const bool isIdempotent = asked.progress.terms().isIdempotent;
    const std::uint64_t number = ++m_lastAttempt;

    http::exchange_request request;
    request.bytes =
        m_format.forward(asked.call, chosen.registration().instance, std::max(left, 1ms));
    request.isOwn = [this, id = asked.call.id](const http::response &response) {
        return m_format.isOwn(id, response);
    };
    request.onEnd = [this, number](http::exchange_result &&result) {
        onExchangeEnd(number, std::move(result));
    };
    if (!isIdempotent)
        request.longestIdle = m_settings.longestIdleForOnce;
    request.isBodyExpected = asked.call.isBodyExpected;

    attempt &sent = m_attempts[number];
    sent.owner = asked.number;
    sent.shard = shard;
    sent.service = part.service;
    sent.instance = chosen.registration().instance;
    sent.sentAt = now;
    sent.expected = asked.statistics->usualLatency();
    sent.expected =
        std::chrono::duration_cast<duration>(sent.expected * chosen.crowding(sent.expected, now));
    sent.isIdempotent = isIdempotent;
    sent.statistics = asked.statistics;
    part.tried.push_back(sent.instance);
    part.gap = shard_gap::Late;
    chosen.noteSent(now);
    asked.progress.noteSent(shard);
    sent.exchange =
        m_connections.send(chosen.registration(), choice.connections, std::move(request));
}

template <request_format Format>
void query_service<Format>::giveUpWaiting(query &asked)
{
    asked.waitUntil = time_point::max();
    const bool isEntering = m_entering.erase(keyOf(asked)) > 0;
    for (std::size_t shard = 0; shard < asked.shards.size(); ++shard) {
        query_shard &part = asked.shards[shard];
        if (isEntering)
            asked.progress.giveUp(shard);
        if (!part.isWaiting)
            continue;
        part.isWaiting = false;
        if (!part.tried.empty())
            m_budgets.of(part.service).refund();
        asked.progress.giveUp(shard);
        const auto waiting = m_waiting.find(part.service);
        if (waiting != m_waiting.end())
            waiting->second.erase(
                {asked.matched->priority, asked.progress.terms().end, asked.number, shard});
    }
}

template <request_format Format>
void query_service<Format>::onExchangeEnd(std::uint64_t number, http::exchange_result &&result)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end())
        return;
    const attempt ended = std::move(found->second);
    m_attempts.erase(found);

    const bool wasReused = result.wasReused;
    attempt_end end =
        result.end == http::exchange_end::NotSent ? attempt_end::NotSent : attempt_end::Lost;
    std::optional<target_answer> answer;
    if (result.end == http::exchange_end::Answered) {
        answer = m_format.readAnswer(std::move(result.answer));
        // Nothing shows whether such a body is whole, so it is used only where none can be had
        // again. @see failureOf
        const bool isDoubtful = answer->response.isDelimitedByClose && ended.isIdempotent;
        end = isDoubtful && answer->end == attempt_end::Answered ? attempt_end::Lost : answer->end;
        target *known = m_environment.directory.find(ended.instance);
        if (known != nullptr && answer->load)
            known->noteLoad(*answer->load, m_environment.time.now());
    }
    m_environment.metrics.countAttempt(std::string(query_details::nameOf(end)));
    switch (end) {
    case attempt_end::Answered:
        ended.statistics->recordAttempt(m_environment.time.now() - ended.sentAt);
        noteEvidence(ended, target_evidence::Success);
        break;
    case attempt_end::NotRun:
        noteEvidence(ended, target_evidence::Refused);
        break;
    case attempt_end::Lost:
        // A kept connection that the target closed as the request was sent is nobody's failure.
        noteEvidence(ended, wasReused ? target_evidence::Cancelled : target_evidence::Failure);
        break;
    case attempt_end::Failed:
    case attempt_end::NotSent:
        noteEvidence(ended, target_evidence::Failure);
        break;
    }
    takeAnswer(ended, end, std::move(answer));
    wakeWaiting(ended.service);
    admitEntering();
}

template <request_format Format>
void query_service<Format>::noteEvidence(const attempt &ended, target_evidence evidence)
{
    target *known = m_environment.directory.find(ended.instance);
    if (known != nullptr)
        known->noteEnd(evidence, ended.sentAt, m_environment.time.now(), ended.expected);
}

template <request_format Format>
void query_service<Format>::takeAnswer(const attempt &ended, attempt_end end,
                                       std::optional<target_answer> answer)
{
    const auto found = m_queries.find(ended.owner);
    if (found == m_queries.end())
        return;
    query &asked = *found->second;
    query_shard &part = asked.shards[ended.shard];
    const bool isFirstAnswer = !asked.progress.isAnswered(ended.shard);
    asked.progress.noteEnd(ended.shard, end);
    const bool isPassable = end == attempt_end::Failed || end == attempt_end::Lost;
    if (end == attempt_end::Answered && isFirstAnswer) {
        part.answer = std::move(answer);
        part.gap = shard_gap::None;
    } else if (isPassable && answer && !asked.matched->asksAllShards())
        asked.failure = std::move(answer);
    if (end != attempt_end::Answered) {
        m_environment.log.limited("attempt-ended",
                                  {{"id", asked.call.id.value()},
                                   {"target", ended.instance.value()},
                                   {"service", ended.service.value()},
                                   {"end", query_details::nameOf(end)}});
        // Nothing was run, so the attempt costs the target nothing that the budget guards.
        if (end == attempt_end::NotSent && part.tried.size() > 1)
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
    const time_point cutoff = asked.progress.terms().cutoff;
    if (part.gap == shard_gap::NoRoom && m_environment.time.now() < cutoff)
        return await(asked, shard, cutoff);
    budget.refund();
    asked.progress.giveUp(shard);
}

template <request_format Format>
void query_service<Format>::hedge(query &asked)
{
    const time_point now = m_environment.time.now();
    bool isAnyLeft = false;
    for (std::size_t shard = 0; shard < asked.shards.size(); ++shard) {
        if (!asked.progress.mayHedge(shard))
            continue;
        limits::retry_budget &budget = m_budgets.of(asked.shards[shard].service);
        const double kept = std::min(1.0, query_details::budgetKept * budget.reserve());
        if (!budget.trySpend(kept)) {
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
    asked.hedgeAt = isAnyLeft && again < asked.progress.terms().end ? again : time_point::max();
}

template <request_format Format>
void query_service<Format>::settle(query &asked)
{
    const scatter_verdict verdict = asked.progress.verdict(m_environment.time.now());
    if (verdict != scatter_verdict::Wait)
        return finish(asked, verdict);
    schedule(asked);
}

template <request_format Format>
void query_service<Format>::schedule(query &asked)
{
    const scatter_terms &terms = asked.progress.terms();
    const time_point now = m_environment.time.now();
    time_point next = std::min({terms.end, asked.hedgeAt, asked.waitUntil});
    if (terms.cutoff > now)
        next = std::min(next, terms.cutoff);
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
    const scatter_verdict verdict = asked.progress.verdict(m_environment.time.now());
    if (verdict == scatter_verdict::Wait && m_environment.time.now() >= asked.hedgeAt)
        hedge(asked);
    settle(asked);
}

template <request_format Format>
http::reply query_service<Format>::answerOf(query &asked) const
{
    if (!asked.matched->asksAllShards())
        return m_format.single(std::move(asked.shards.front().answer->response));
    std::vector<const target_answer *> parts;
    for (const query_shard &part : asked.shards) {
        if (part.answer)
            parts.push_back(&*part.answer);
    }
    const std::size_t missing = asked.shards.size() - parts.size();
    return m_format.merged(parts, missing, asked.matched->resultCount);
}

template <request_format Format>
http::reply query_service<Format>::failureOf(query &asked, refusal &reason) const
{
    if (!asked.progress.mayHaveRun())
        reason = refusal::NotRun;
    else if (m_environment.time.now() >= asked.progress.terms().end)
        reason = refusal::TimedOut;
    else
        reason = refusal::TargetsFailed;
    if (asked.failure && reason != refusal::NotRun)
        return m_format.single(std::move(asked.failure->response));
    return m_format.refuse(reason, m_settings.retryAfter);
}

template <request_format Format>
void query_service<Format>::finish(query &asked, scatter_verdict verdict)
{
    refusal reason = refusal::NotRun;
    const bool isAnswer = verdict == scatter_verdict::Answer;
    const http::reply answer = isAnswer ? answerOf(asked) : failureOf(asked, reason);
    const bool isWhole = asked.progress.answeredCount() == asked.shards.size();
    const std::string_view outcome = isAnswer ? (isWhole ? "answered" : "partial")
                                              : (reason == refusal::NotRun ? "refused" : "failed");
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
         {"version", asked.inForce->version().value()},
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
    const duration expected = asked.statistics->usualLatency();
    const time_point now = m_environment.time.now();
    for (const query_shard &part : asked.shards) {
        if (part.gap != shard_gap::NoRoom)
            continue;
        for (const target *known : m_environment.directory.of(part.service)) {
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

template <request_format Format>
duration query_service<Format>::roomLimit(const route &matched) const
{
    return std::chrono::duration_cast<duration>(m_settings.roomPart
                                                * duration(matched.latencyObjective));
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
        noteEvidence(left, target_evidence::Cancelled);
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

template <request_format Format>
void query_service<Format>::wakeWaiting(const service_id &service)
{
    const auto found = m_waiting.find(service);
    if (found == m_waiting.end())
        return;
    std::set<waiting_key> &waiting = found->second;
    while (!waiting.empty()) {
        const auto [priority, end, number, shard] = *waiting.begin();
        const auto asked = m_queries.find(number);
        if (asked != m_queries.end()) {
            query &waiter = *asked->second;
            const bool isSent = send(waiter, shard);
            if (!isSent && waiter.shards[shard].gap == shard_gap::NoRoom)
                return;
            if (!isSent)
                waiter.progress.giveUp(shard);
            waiter.shards[shard].isWaiting = false;
            waiting.erase(waiting.begin());
            settle(waiter);
            continue;
        }
        waiting.erase(waiting.begin());
    }
    m_waiting.erase(service);
}

template <request_format Format>
void query_service<Format>::retryWaiting()
{
    std::vector<service_id> services;
    for (const auto &[service, waiting] : m_waiting)
        services.push_back(service);
    for (const service_id &service : services)
        wakeWaiting(service);
    admitEntering();
}

} // namespace mustardcourse::serving
