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
/** Most attempts of the budget that second attempts leave to attempts that failed. */
constexpr double mostAttemptsKept = 1;
/** Part that they leave of what a reserve holds beyond two attempts. Where many hosts share a
   bound, each has little, and what it keeps it mostly loses. */
constexpr double reservePartKept = 0.25;
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
        known = std::make_shared<route_statistics>(matched.latencyObjective);
    return known;
}

template <request_format Format>
duration query_service<Format>::callerWait(const http::caller_exchange &exchange, duration deadline,
                                           const route &matched,
                                           const route_statistics &statistics) const
{
    const duration travel = m_settings.callerTravel;
    // A caller that connected for this request has waited for the handshake as well.
    const duration connecting = exchange.isFirstOfConnection() ? 2 * travel : duration::zero();
    // A later try that cannot meet the objective any more is served as if it were the first.
    const duration firstTry = statistics.ageOf(deadline);
    const duration counted = isLate(firstTry, matched) ? duration::zero() : firstTry;
    return travel + connecting + counted;
}

template <request_format Format>
scatter_terms query_service<Format>::termsFor(time_point arrival, duration callerWait,
                                              duration deadline, const route &matched) const
{
    const duration travel = m_settings.callerTravel;
    const duration untilObjective = matched.latencyObjective - callerWait - travel;
    const duration untilDeadline = deadline - 2 * travel;
    const duration limit = std::min<duration>(matched.timeout, untilDeadline);
    scatter_terms terms;
    terms.shardCount = matched.asksAllShards() ? matched.shards.size() : 1;
    terms.leastAnswers = leastAnswersFor(matched.leastShardShare, terms.shardCount);
    terms.maximumTargets = std::max<std::size_t>(matched.maximumTargets, 1);
    terms.isIdempotent = matched.isIdempotent;
    terms.cutoff = arrival + untilObjective - answerMargin();
    terms.end = arrival + limit - m_settings.answerMargin;
    return terms;
}

template <request_format Format>
void query_service<Format>::start(std::unique_ptr<http::caller_exchange> exchange, caller_call call,
                                  const route &matched)
{
    auto statistics = statisticsOf(matched);
    const duration deadline = call.deadline.value_or(matched.timeout);
    statistics->recordDeadline(deadline);
    const time_point arrival = exchange->arrival();
    const duration waited = callerWait(*exchange, deadline, matched, *statistics);
    const scatter_terms terms = termsFor(arrival, waited, deadline, matched);
    const bool isLateTry = isLate(statistics->ageOf(deadline), matched);
    const query_number number = ++m_lastQuery;
    auto created = std::make_unique<query>(number, std::move(call), terms);
    query &asked = *created;
    m_queries.emplace(number, std::move(created));
    asked.inForce = m_configuration;
    asked.matched = &matched;
    asked.statistics = std::move(statistics);
    asked.isLateTry = isLateTry;
    asked.deadline = arrival + deadline - 2 * m_settings.callerTravel;
    const duration refusalTime = scaled(matched.latencyObjective, m_settings.refusalPart);
    asked.refuseBy = arrival + refusalTime - waited - m_settings.callerTravel - answerMargin();
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
    if (terms.isIdempotent && terms.maximumTargets > 1) {
        asked.sentAt = now;
        asked.hedging = asked.statistics->hedgeWindow(terms.cutoff - now);
        asked.hedgeAt = now + asked.hedging.earliest;
    }
    enter(asked);
    settle(asked);
}

} // namespace mustardcourse::serving
