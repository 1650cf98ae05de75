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

inline std::string_view nameOf(attempt_outcome end)
{
    switch (end) {
    case attempt_outcome::Answered:
        return "answered";
    case attempt_outcome::Failed:
        return "failed";
    case attempt_outcome::NotRun:
        return "not-run";
    case attempt_outcome::NotSent:
        return "not-sent";
    case attempt_outcome::Lost:
        return "lost";
    }
    return "unknown";
}

} // namespace query_details

template <request_format Format>
query_service<Format>::query_service(query_environment environment, Format format,
                                     query_settings settings, shared_retry_limits retryTerms)
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
                                        const shared_retry_limits &retryTerms)
{
    m_settings = settings;
    m_budgets.setTerms(retryTerms);
}

template <request_format Format>
void query_service<Format>::dispatch(std::unique_ptr<http::caller_exchange> exchange)
{
    const auto formatFailure = [&](request_failure reason) {
        const http::reply answer = m_format.formatFailure(reason, m_settings.retryAfter);
        m_environment.metrics.countRequest("refused", duration::zero());
        m_environment.log.limited(
            "request-refused",
            {{"target", exchange->receivedRequest().target},
             {"status", answer.status},
             {"version", m_configuration ? m_configuration->version().value() : std::uint64_t{0}}});
        exchange->respond(answer);
    };
    if (!m_configuration)
        return formatFailure(request_failure::NotRun);
    auto call = m_format.readCallerRequest(exchange->receivedRequest());
    if (!call)
        return formatFailure(request_failure::BadRequest);
    const route *matched =
        m_configuration->match(call->hostName, exchange->receivedRequest().target);
    if (matched == nullptr)
        return formatFailure(request_failure::NoRoute);
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
    const duration travel = m_settings.callerNetworkDelay;
    // A caller that connected for this request has waited for the handshake as well.
    const duration connecting = exchange.isFirstOnConnection() ? 2 * travel : duration::zero();
    // A later try that cannot meet the objective any more is served as if it were the first.
    const duration firstTry = statistics.estimatedAge(deadline);
    const duration counted = isLate(firstTry, matched) ? duration::zero() : firstTry;
    return travel + connecting + counted;
}

template <request_format Format>
scatter_parameters query_service<Format>::termsFor(time_point arrival, duration callerWait,
                                                   duration deadline, const route &matched) const
{
    const duration travel = m_settings.callerNetworkDelay;
    const duration untilObjective = matched.latencyObjective - callerWait - travel;
    const duration untilDeadline = deadline - 2 * travel;
    const duration limit = std::min<duration>(matched.timeout, untilDeadline);
    scatter_parameters parameters;
    parameters.shardCount = matched.queriesAllShards() ? matched.shards.size() : 1;
    parameters.minimumAnswers = minimumAnswersFor(matched.minimumShardShare, parameters.shardCount);
    parameters.maximumTargets = std::max<std::size_t>(matched.maximumTargets, 1);
    parameters.isIdempotent = matched.isIdempotent;
    parameters.cutoff = arrival + untilObjective - answerMargin();
    parameters.end = arrival + limit - m_settings.answerMargin;
    return parameters;
}

template <request_format Format>
void query_service<Format>::start(std::unique_ptr<http::caller_exchange> exchange,
                                  caller_request call, const route &matched)
{
    auto statistics = statisticsOf(matched);
    const duration deadline = call.deadline.value_or(matched.timeout);
    statistics->recordDeadline(deadline);
    const time_point arrival = exchange->arrival();
    const duration waited = callerWait(*exchange, deadline, matched, *statistics);
    const scatter_parameters parameters = termsFor(arrival, waited, deadline, matched);
    const bool isLateTry = isLate(statistics->estimatedAge(deadline), matched);
    const query_number number = ++m_lastQuery;
    auto created = std::make_unique<query>(number, std::move(call), parameters);
    query &asked = *created;
    m_queries.emplace(number, std::move(created));
    asked.activeConfiguration = m_configuration;
    asked.matched = &matched;
    asked.statistics = std::move(statistics);
    asked.isLateTry = isLateTry;
    asked.deadline = arrival + deadline - 2 * m_settings.callerNetworkDelay;
    const duration refusalTime = scaled(matched.latencyObjective, m_settings.refusalPart);
    asked.refuseBy =
        arrival + refusalTime - waited - m_settings.callerNetworkDelay - answerMargin();
    asked.exchange = std::move(exchange);
    asked.exchange->onDisconnect([this, number] { abandon(number); });
    asked.timer =
        std::make_unique<net::timer>(m_environment.loop, [this, number] { onTimer(number); });
    if (matched.queriesAllShards()) {
        for (const service_id &service : matched.shards)
            asked.shards.push_back({service, {}, {}, shard_gap::Late});
    } else {
        const service_id &service = asked.statistics->roundRobin.next(matched.services);
        asked.shards.push_back({service, {}, {}, shard_gap::Late});
    }
    const time_point now = m_environment.time.now();
    if (parameters.isIdempotent && parameters.maximumTargets > 1) {
        asked.sentAt = now;
        asked.hedging = asked.statistics->hedgeWindow(parameters.cutoff - now);
        asked.hedgeAt = now + asked.hedging.earliest;
    }
    enter(asked);
    settle(asked);
}

} // namespace mustardcourse::serving
