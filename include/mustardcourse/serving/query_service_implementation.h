#pragma once

// Definitions of query_service; include query_service.h instead.

#include <mustardcourse/core/hash.h>
#include <mustardcourse/serving/query_service.h>

namespace mustardcourse::serving {

namespace query_details {

/** Interval between checks for attempts that have outlived their requests for too long. */
constexpr std::chrono::milliseconds cancelInterval{40};
/** Interval at which a hedged attempt is tried again that had no budget or no target. */
constexpr std::chrono::milliseconds hedgeInterval{6};
/** Interval at which requests that wait for admission are tried again. */
constexpr std::chrono::milliseconds admissionInterval{4};
/** Maximum number of attempts that hedges always leave in the budget for retries of failures. */
constexpr double maximumReservedAttempts = 1;
/** Fraction of the reserve beyond two attempts that hedges always leave in the budget. If many
   hosts share the limit, each has a small reserve, and attempts that it keeps back mostly go
   unused. */
constexpr double reservedFraction = 0.25;
/** Quantile of the timer delays that the answer margin allows for. */
constexpr double timerDelayQuantile = 0.9;
/** Maximum number of parts of lookups that a host gathers at the same time, for each of its cores;
    one takes some milliseconds of a core and ends about at the latency objective. */
constexpr double maximumPartsPerCore = 64;
constexpr double minimumMaximumParts = 4;
/** Number of shares into which half of a target's limits is divided for each of its gatherers: both
    halves, and another host in place of each gatherer. */
constexpr std::size_t sharesPerGatherer = 4;
/** Lowest HTTP status with which a target says that it failed. */
constexpr int firstFailureStatus = 500;
/** One in this number of ordinary successes is logged. */
constexpr std::size_t loggedSuccessInterval = 64;

inline std::chrono::milliseconds wholeMilliseconds(duration time)
{
    return std::chrono::floor<std::chrono::milliseconds>(time);
}

/** Returns the life of a target from its last start on. */
inline target_life lifeOf(const target_registration &registration)
{
    return target_life(stableHash(registration.instance.value(), registration.order.startedAt));
}

inline std::string_view nameOf(std::optional<net::stream_end_reason> connectionEnd)
{
    return connectionEnd ? net::nameOf(*connectionEnd) : "open";
}

inline std::string_view nameOf(attempt_outcome outcome)
{
    switch (outcome) {
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
                                     query_settings settings, shared_retry_limits retryLimits)
    : m_environment(environment)
    , m_format(std::move(format))
    , m_settings(settings)
    , m_budgets(retryLimits)
    , m_connections(environment.loop, environment.time, environment.metrics,
                    environment.answerMemory)
    , m_dispatcher(environment.loop, environment.time, environment.log, environment.metrics,
                   environment.answerMemory, environment.gathering.ownHost().host)
    , m_cancelTimer(environment.loop, [this] { cancelExpiredAttempts(); })
    , m_startupTimer(environment.loop, [this] { dispatchHeldRequests(); })
    , m_admissionTimer(environment.loop, [this] { admitPending(); })
    , m_turnTimer(environment.loop, [this] {
        m_nextTurn = time_point::max();
        retryWaitingRequests();
    })
{ }

template <request_format Format>
void query_service<Format>::open()
{
    m_isOpen = true;
    dispatchHeldRequests();
}

template <request_format Format>
void query_service<Format>::dispatchHeldRequests()
{
    m_startupTimer.stop();
    auto heldRequests = std::exchange(m_heldRequests, {});
    for (auto &exchange : heldRequests)
        dispatch(std::move(exchange));
}

template <request_format Format>
void query_service<Format>::serve(std::unique_ptr<http::caller_exchange> exchange)
{
    if (m_isOpen)
        return dispatch(std::move(exchange));
    if (m_heldRequests.empty())
        m_startupTimer.start(m_settings.startupWaitTime);
    m_heldRequests.push_back(std::move(exchange));
}

template <request_format Format>
void query_service<Format>::setMemberCounts(const member_counts &counts)
{
    m_memberCounts = counts;
    m_budgets.setMemberCount(counts.forReserves);
}

template <request_format Format>
void query_service<Format>::setSettings(const query_settings &settings,
                                        const shared_retry_limits &retryLimits)
{
    m_settings = settings;
    m_budgets.setLimits(retryLimits);
}

template <request_format Format>
void query_service<Format>::dispatch(std::unique_ptr<http::caller_exchange> exchange)
{
    const auto refuse = [&](request_failure reason) {
        const http::reply reply = m_format.formatFailure(reason, m_settings.retryAfter);
        m_environment.metrics.countRequest("refused", duration::zero());
        m_environment.log.writeRateLimited(
            "request-refused",
            {{"target", exchange->receivedRequest().target},
             {"status", reply.status},
             {"version", m_configuration ? m_configuration->version().value() : std::uint64_t{0}}});
        exchange->respond(reply);
    };
    if (!m_configuration)
        return refuse(request_failure::NotRun);
    auto callerRequest = m_format.readCallerRequest(exchange->receivedRequest());
    if (!callerRequest)
        return refuse(request_failure::BadRequest);
    const route *matchedRoute =
        m_configuration->match(callerRequest->hostName, exchange->receivedRequest().target);
    if (matchedRoute == nullptr)
        return refuse(request_failure::NoRoute);
    if (isTooLateToServe(*exchange, *callerRequest, *matchedRoute))
        return refuse(request_failure::NotRun);
    start(std::move(exchange), std::move(*callerRequest), *matchedRoute);
}

template <request_format Format>
bool query_service<Format>::isTooLateToServe(const http::caller_exchange &exchange,
                                             const caller_request &callerRequest,
                                             const route &matchedRoute) const
{
    const time_point now = m_environment.time.now();
    if (m_serviceEnd.isOver || now < m_serviceEnd.lateFrom)
        return m_serviceEnd.isOver;
    if (matchedRoute.isIdempotent)
        return now + matchedRoute.latencyObjective > m_serviceEnd.end;
    const auto deadline = callerRequest.deadline.value_or(matchedRoute.timeout);
    return exchange.begin() + std::min(deadline, matchedRoute.timeout) > m_serviceEnd.end;
}

template <request_format Format>
void query_service<Format>::endService()
{
    m_serviceEnd.isOver = true;
    dispatchHeldRequests();
    while (!m_queries.empty()) {
        active_query &query = *m_queries.begin()->second;
        finish(query, query.progress.decision(time_point::max()));
    }
}

template <request_format Format>
std::shared_ptr<route_statistics> query_service<Format>::statisticsOf(const route &matchedRoute)
{
    std::shared_ptr<route_statistics> &statistics = m_statistics[matchedRoute.name];
    if (!statistics)
        statistics = std::make_shared<route_statistics>(matchedRoute.latencyObjective);
    statistics->setObjective(matchedRoute.latencyObjective);
    return statistics;
}

template <request_format Format>
duration query_service<Format>::callerWaitingTime(const http::caller_exchange &exchange,
                                                  duration deadline, const route &matchedRoute,
                                                  const route_statistics &statistics) const
{
    const duration networkDelay = m_settings.callerNetworkDelay;
    // A caller that connected for this request has waited for the handshake as well.
    const duration connectionSetupTime =
        exchange.isFirstOnConnection() ? 2 * networkDelay : duration::zero();
    // A retry that can no longer meet the objective of the first try is treated as a first try.
    const duration timeSinceFirstTry = statistics.estimatedAge(deadline);
    const duration earlierTriesTime = isTooLateForObjective(timeSinceFirstTry, matchedRoute)
        ? duration::zero()
        : timeSinceFirstTry;
    return networkDelay + connectionSetupTime + earlierTriesTime;
}

template <request_format Format>
scatter_parameters
query_service<Format>::scatterParametersFor(time_point arrival, duration callerWaitingTime,
                                            time_point deadline, const route &matchedRoute) const
{
    const duration untilObjective =
        matchedRoute.latencyObjective - callerWaitingTime - m_settings.callerNetworkDelay;
    scatter_parameters parameters;
    parameters.shardCount = matchedRoute.queriesAllShards() ? matchedRoute.shards.size() : 1;
    parameters.minimumAnswers =
        minimumAnswersFor(matchedRoute.minimumShardShare, parameters.shardCount);
    parameters.maximumTargets = std::max<std::size_t>(matchedRoute.maximumTargets, 1);
    parameters.isIdempotent = matchedRoute.isIdempotent;
    parameters.cutoff = arrival + untilObjective - answerMargin();
    parameters.end =
        std::min<time_point>(arrival + matchedRoute.timeout, deadline) - m_settings.answerMargin;
    return parameters;
}

template <request_format Format>
void query_service<Format>::start(std::unique_ptr<http::caller_exchange> exchange,
                                  caller_request callerRequest, const route &matchedRoute)
{
    auto statistics = statisticsOf(matchedRoute);
    const duration callerTime = callerRequest.deadline.value_or(matchedRoute.timeout);
    statistics->recordDeadline(callerTime);
    const time_point arrival = exchange->arrival();
    const time_point deadline = exchange->begin() + callerTime - 2 * m_settings.callerNetworkDelay;
    const duration waitingTime =
        callerWaitingTime(*exchange, callerTime, matchedRoute, *statistics);
    const scatter_parameters parameters =
        scatterParametersFor(arrival, waitingTime, deadline, matchedRoute);
    const bool isLateRetry =
        isTooLateForObjective(statistics->estimatedAge(callerTime), matchedRoute);
    const query_number number = ++m_lastQueryNumber;
    active_query &query =
        addQuery(number, std::make_shared<const caller_request>(std::move(callerRequest)),
                 parameters, matchedRoute);
    query.arrival = arrival;
    query.isLateRetry = isLateRetry;
    query.deadline = deadline;
    const duration refusalTime =
        scaled(matchedRoute.latencyObjective, m_settings.refusalTimeFraction);
    query.refusalDeadline =
        arrival + refusalTime - waitingTime - m_settings.callerNetworkDelay - answerMargin();
    query.exchange = std::move(exchange);
    query.exchange->onDisconnect([this, number] { onCallerDisconnect(number); });
    // A deadline may have passed before the request was read.
    const bool hasTimeLeft = m_environment.time.now() < parameters.end;
    if (hasTimeLeft && !delegate(query)) {
        allowHedges(query);
        admitOrQueue(query);
    }
    finishOrSchedule(query);
}

template <request_format Format>
active_query &query_service<Format>::addQuery(query_number number,
                                              std::shared_ptr<const caller_request> callerRequest,
                                              const scatter_parameters &parameters,
                                              const route &matchedRoute)
{
    auto newQuery = std::make_unique<active_query>(number, std::move(callerRequest), parameters);
    active_query &query = *newQuery;
    m_queries.emplace(number, std::move(newQuery));
    query.activeConfiguration = m_configuration;
    query.matchedRoute = &matchedRoute;
    query.statistics = statisticsOf(matchedRoute);
    query.timer =
        std::make_unique<net::timer>(m_environment.loop, [this, number] { onTimer(number); });
    if (matchedRoute.queriesAllShards()) {
        for (const service_id &service : matchedRoute.shards)
            query.shards.push_back({service, {}, {}, missing_shard_reason::Late});
    } else {
        const service_id &service = query.statistics->roundRobin.next(matchedRoute.services);
        query.shards.push_back({service, {}, {}, missing_shard_reason::Late});
    }
    return query;
}

template <request_format Format>
void query_service<Format>::allowHedges(active_query &query)
{
    const scatter_parameters &parameters = query.progress.parameters();
    if (!parameters.isIdempotent || parameters.maximumTargets < 2)
        return;
    const time_point now = m_environment.time.now();
    query.hedgeWindowStart = now;
    query.hedgeWindow = query.statistics->hedgeWindow(parameters.cutoff - now);
    query.nextHedgeTime = now + query.hedgeWindow.earliest;
}

} // namespace mustardcourse::serving
