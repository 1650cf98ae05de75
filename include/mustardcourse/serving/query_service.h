#pragma once

#include <mustardcourse/core/log.h>
#include <mustardcourse/serving/gathering_plan.h>
#include <mustardcourse/serving/part_dispatcher.h>
#include <mustardcourse/serving/part_messages.h>
#include <mustardcourse/serving/query.h>
#include <mustardcourse/serving/retry_budgets.h>
#include <mustardcourse/serving/target_connections.h>

#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace mustardcourse::serving {

/** Settings of the request path of a host. */
struct query_settings
{
    /** One-way network delay between a caller and this host. */
    duration callerNetworkDelay = std::chrono::milliseconds(3);
    /** Time reserved for sending an answer before a caller's objective or deadline. */
    duration answerMargin = std::chrono::milliseconds(2);
    /** How long an attempt may continue after its request has ended. Cancelling closes the
        connection, and a new one costs a target more than a short remainder of work; a longer
        remainder would be wasted. */
    duration abandonedAttemptTime = std::chrono::milliseconds(200);
    /** Delay after which a refused caller is asked to retry. */
    duration retryAfter = std::chrono::milliseconds(100);
    /** Fraction of a route's latency objective within which a target must be expected to answer,
        or it has no capacity. The rest is for the network delay and for hedged attempts. */
    double capacityLatencyFraction = 0.8;
    /** Additional latency of a new connection over an existing one: a round trip to the target
        and some milliseconds of one of its slots. */
    duration newConnectionDelay = std::chrono::milliseconds(10);
    /** Fraction of the objective for which a shard of an admitted request waits for a target with
        capacity; about the time that a hedged attempt needs to be useful. */
    double shardWaitFraction = 0.2;
    /** Fraction of the objective within which a refusal reaches the caller, including network and
        timer delays. After that, another host could no longer answer in time. */
    double refusalTimeFraction = 0.25;
    /** How long a request waits for a process that has just started to load its configuration. */
    duration startupWaitTime = std::chrono::milliseconds(100);
    /** Maximum idle time of a connection that is reused for a non-idempotent request: if the target
        has already closed it, the result of the request stays unknown. */
    duration maximumNonIdempotentIdleTime = std::chrono::seconds(1);
    /** Time for which the answer of a part that another host has gathered is on its way. */
    duration partReturnTime = std::chrono::milliseconds(3);
};

/** Numbers of hosts, each at least one, among which common limits are divided.
    @see membership::member_estimate */
struct member_counts
{
    /** For what a host may save up: retries and connections. */
    std::size_t forReserves = 1;
    /** For rates of requests that hold in every second or few. */
    std::size_t forRates = 1;
};

/** The objects that the request path uses. */
struct query_environment
{
    net::loop &loop;
    const clock &time;
    const logger &log;
    serving_metrics &metrics;
    target_directory &directory;
    suspect_requests &suspects;
    gathering_plan &gathering;
    /** Memory of the answers of targets and other hosts that are being read. */
    http::receive_memory &answerMemory;
};

/**
    Serves callers' requests by sending each to a single target or to one target of every shard.

    It decides on targets, retries, hedged attempts and when to answer. The format only translates
    messages. @see request_format, scatter
*/
template <request_format Format>
class query_service
{
public:
    query_service(query_environment environment, Format format, query_settings settings,
                  shared_retry_limits retryLimits);

    /** Serves a request until its response has been sent. */
    void serve(std::unique_ptr<http::caller_exchange> exchange);

    /** Gathers a part of a lookup for another host. @see part_request */
    void servePart(std::unique_ptr<http::caller_exchange> exchange);

    /** Sets the hosts of all data centres that gather parts of lookups. */
    void setGatherers(std::vector<gatherer> members);

    /** Sets the configuration for requests that start from now on. */
    void setConfiguration(configuration_pointer activeConfiguration)
    {
        m_configuration = std::move(activeConfiguration);
    }
    [[nodiscard]] const configuration_pointer &activeConfiguration() const noexcept
    {
        return m_configuration;
    }

    /** Starts serving. Requests that arrive earlier are held for a short time. */
    void open();

    /** Sets how many hosts share the limits. */
    void setMemberCounts(const member_counts &counts);

    /** Sets the settings for requests that start from now on. */
    void setSettings(const query_settings &settings, const shared_retry_limits &retryLimits);

    /**
        Prepares the end of service.

        @param lateFrom  from then on requests are taken only if they are expected to end in time;
                         those that must not be repeated, only if they certainly do
        @param end       when endService() will be called
    */
    void prepareEnd(time_point lateFrom, time_point end) { m_serviceEnd = {lateFrom, end}; }

    /** Answers all running requests, with a failure if they lack answers, and refuses further ones.
     */
    void endService();

    /** Closes connections to targets that are gone or have restarted. Call it periodically. */
    void closeUnused() { m_connections.closeUnused(m_environment.directory); }

    /** Retries the requests that wait for capacity. Call it when targets have changed. */
    void retryWaitingRequests();

    [[nodiscard]] std::size_t runningRequestCount() const noexcept { return m_queries.size(); }

    /** Returns how many of these are parts of lookups. */
    [[nodiscard]] std::size_t runningPartCount() const noexcept { return m_partCount; }

private:
    /** The target for the next attempt at a shard, or why there is none. */
    struct target_choice
    {
        target *selectedTarget = nullptr;
        missing_shard_reason missingReason = missing_shard_reason::None;
        connection_limit connections;

        /** Returns whether waiting for a target is useless. */
        [[nodiscard]] bool isHopeless() const
        {
            return missingReason == missing_shard_reason::NoTarget
                || missingReason == missing_shard_reason::OverLimit
                || missingReason == missing_shard_reason::Suspect;
        }
    };

    /** Orders the shards that wait for capacity: the most urgent first, then the earliest end. */
    using waiting_shard_key = std::tuple<route_priority, time_point, query_number, std::size_t>;

    /** When this host stops serving. @see prepareEnd */
    struct service_end
    {
        time_point lateFrom = time_point::max();
        time_point end = time_point::max();
        bool isOver = false;
    };

    void dispatch(std::unique_ptr<http::caller_exchange> exchange);
    /** Returns whether a request might not end before this host stops serving. */
    [[nodiscard]] bool isTooLateToServe(const http::caller_exchange &exchange,
                                        const caller_request &callerRequest,
                                        const route &matchedRoute) const;
    void dispatchHeldRequests();
    void start(std::unique_ptr<http::caller_exchange> exchange, caller_request callerRequest,
               const route &matchedRoute);
    /** Adds a request to those that are running. */
    active_query &addQuery(query_number number, std::shared_ptr<const caller_request> callerRequest,
                           const scatter_parameters &parameters, const route &matchedRoute);
    void allowHedges(active_query &query);

    /** Has the shards of a lookup gathered in parts. @returns false if this host sends it to the
        targets */
    bool delegate(active_query &query);
    [[nodiscard]] part_request makePartRequest(const active_query &query, std::size_t index) const;
    /** Gathers a part that no other host takes. */
    void gatherPart(active_query &query, std::size_t index, bool isRepeated);
    void onPartEnd(query_number number, std::size_t index, part_result &&result);
    void onPartAnswer(query_number number, std::size_t index, part_answer &answer);
    void recordPart(active_query &query, const delegated_part &part, part_answer &answer);
    [[nodiscard]] decline_reason declineReasonFor(const part_request &request);
    void startPart(query_number number, const part_request &request, part_handler onEnd);
    void finishPart(active_query &query, scatter_decision decision);
    void cancelParts(const active_query &query);
    /** Returns whether a lookup that has failed as parts of it were refused should wait for the
        other parts: if those are refused as well, its caller learns that it was not run. */
    [[nodiscard]] bool mayBeRefusedWhole(const active_query &query) const;
    /** Returns among how many hosts the limits of the targets of a request are divided. */
    [[nodiscard]] member_counts sharingHosts(const active_query &query);

    /** Returns how long a caller has already waited when its request arrives. */
    [[nodiscard]] duration callerWaitingTime(const http::caller_exchange &exchange,
                                             duration deadline, const route &matchedRoute,
                                             const route_statistics &statistics) const;
    /** @param deadline  when an answer has to leave to reach the caller in time */
    [[nodiscard]] scatter_parameters scatterParametersFor(time_point arrival,
                                                          duration callerWaitingTime,
                                                          time_point deadline,
                                                          const route &matchedRoute) const;
    /** Returns whether a caller's retry is too late to meet the objective of its first try. */
    static bool isTooLateForObjective(duration timeSinceFirstTry, const route &matchedRoute);

    /** Orders the requests that wait for admission: those that can meet their objective before late
        retries, then the most urgent first, then the earliest end. */
    using admission_key = std::tuple<bool, route_priority, time_point, query_number>;
    [[nodiscard]] static admission_key admissionKeyOf(const active_query &query)
    {
        return {query.isLateRetry, query.matchedRoute->priority, query.progress.parameters().end,
                query.number};
    }

    void admitOrQueue(active_query &query);
    [[nodiscard]] duration admissionWait(const active_query &query) const;
    [[nodiscard]] duration shardWait(const active_query &query) const;
    /** Sends a request if enough shards have capacity, or gives it up if too few have targets.
        @returns false if it has to wait for capacity */
    bool tryAdmit(active_query &query);
    void admitPending();
    [[nodiscard]] target_choice chooseTarget(const active_query &query, std::size_t shardIndex);
    /** Returns why a request must not be sent now, or nothing. @see suspect_requests */
    [[nodiscard]] std::optional<missing_shard_reason> sendRestriction(const active_query &query);
    bool tryStartAttempt(active_query &query, std::size_t shardIndex);
    void startAttempt(active_query &query, std::size_t shardIndex, const target_choice &choice);
    void waitForCapacity(active_query &query, std::size_t shardIndex, time_point until);
    void scheduleTurn(duration delay);
    /** Returns the delay until a request can be sent, or nothing if no connection is available. */
    std::optional<duration> connectionDelay(const target &candidate, const connection_limit &limit);
    void giveUpWaiting(active_query &query);
    void onExchangeEnd(std::uint64_t number, http::exchange_result &&result);
    void recordReports(const attempt &finishedAttempt, const target_answer &answer);
    void recordLimit(target &reporter, const attempt &finishedAttempt, const target_answer &answer);
    void recordObservation(const attempt &finishedAttempt, target_observation observation);
    /** Records what the end of an attempt shows about its request. */
    void recordSuspicion(const attempt &finishedAttempt, attempt_outcome outcome,
                         const std::optional<target_answer> &answer);
    void recordEndedTarget(const attempt &finishedAttempt);
    void handleAttemptOutcome(const attempt &finishedAttempt, attempt_outcome outcome,
                              std::optional<target_answer> answer);
    void retry(active_query &query, std::size_t shardIndex);
    /** Returns how many attempts a hedge has to leave in a budget. @see hedge_window */
    static double reservedFromHedges(const limits::retry_budget &budget, double windowProgress);
    void hedge(active_query &query);
    void finishOrSchedule(active_query &query);
    void scheduleWakeUp(active_query &query);
    /** Records how late the timer that was due at a time has expired. */
    void recordTimerDelay(time_point due);
    void onTimer(query_number number);
    void finish(active_query &query, scatter_decision decision);
    [[nodiscard]] static std::vector<const target_answer *> answersOf(const active_query &query);
    http::reply makeAnswer(active_query &query) const;
    http::reply makeFailure(active_query &query, request_failure &reason) const;
    /** Returns when a caller whose request was not run should come back: at once, or after the
       pauses that targets of its shards have requested. */
    [[nodiscard]] duration retryAfter(const active_query &query) const;
    [[nodiscard]] duration answerMargin() const;
    [[nodiscard]] duration capacityLatencyLimit(const route &matchedRoute) const;
    void logMissingCapacity(const active_query &query) const;
    void reportEnd(const active_query &query, std::string_view outcome, int status) const;
    void onCallerDisconnect(query_number number);
    void removeQuery(query_number number);
    void retryWaitingShards(const service_id &service);
    void cancelExpiredAttempts();
    std::shared_ptr<route_statistics> statisticsOf(const route &matchedRoute);

    query_environment m_environment;
    Format m_format;
    query_settings m_settings;
    retry_budgets m_budgets;
    target_connections m_connections;
    part_dispatcher m_dispatcher;
    configuration_pointer m_configuration;
    std::map<route_id, std::shared_ptr<route_statistics>> m_statistics;
    std::unordered_map<query_number, std::unique_ptr<active_query>> m_queries;
    std::unordered_map<std::uint64_t, attempt> m_attempts;
    std::map<service_id, std::set<waiting_shard_key>> m_waitingShards;
    /** Requests of which nothing has been sent, as too few of their shards have capacity. */
    std::set<admission_key> m_pendingAdmission;
    member_counts m_memberCounts;
    query_number m_lastQueryNumber = 0;
    std::size_t m_partCount = 0;
    std::uint64_t m_lastAttemptNumber = 0;
    /** How late this host's timers run, which delays its answers equally. */
    latency_histogram m_timerDelay;
    /** When the last of these delays ended. */
    time_point m_timerDelayRecordedAt;
    net::timer m_cancelTimer;
    bool m_isCancelTimerRunning = false;
    /** Requests that arrived before open(). */
    std::vector<std::unique_ptr<http::caller_exchange>> m_heldRequests;
    net::timer m_startupTimer;
    net::timer m_admissionTimer;
    /** Expires when this host has a turn at a target that has named a limit. */
    net::timer m_turnTimer;
    time_point m_nextTurn = time_point::max();
    bool m_isOpen = false;
    service_end m_serviceEnd;
};

} // namespace mustardcourse::serving

#include <mustardcourse/serving/query_service_implementation.h>

#include <mustardcourse/serving/query_service_admission.h>
#include <mustardcourse/serving/query_service_answers.h>
#include <mustardcourse/serving/query_service_attempts.h>
#include <mustardcourse/serving/query_service_gathering.h>
