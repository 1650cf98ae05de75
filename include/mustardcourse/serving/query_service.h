#pragma once

#include <mustardcourse/core/log.h>
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
    /** Time of a message between a caller and this host. */
    duration callerNetworkDelay = std::chrono::milliseconds(3);
    /** Time kept for the work on an answer before a caller's objective or deadline. */
    duration answerMargin = std::chrono::milliseconds(2);
    /** How long an attempt may run on after its request has ended: a new connection costs a target
        more than a short rest of work, and a longer one is wasted. */
    duration abandonedAttemptTime = std::chrono::milliseconds(200);
    /** When to come back after a refusal. */
    duration retryAfter = std::chrono::milliseconds(100);
    /** Part of a route's latency objective within which a target's answer is expected, or the
        target has no room; the rest is for the way and for second attempts. */
    double roomPart = 0.8;
    /** What a new connection takes longer than a kept one: a way to the target and back, and some
        milliseconds of one of its slots. */
    duration newConnectionTime = std::chrono::milliseconds(10);
    /** Part of the objective for which one shard of a request that was let in waits for a target
        with room; about what a second attempt would need to be of use. */
    double shardWaitPart = 0.2;
    /** Part of the objective within which a caller is told that its request was refused, ways and
        late timers included; one that is told by then can still be served in time elsewhere. */
    double refusalPart = 0.25;
    /** How long a request waits for a process that has just started to learn what it serves. */
    duration openingTime = std::chrono::milliseconds(100);
    /** The longest idle time of a connection that carries a non-idempotent request: one that the
        target has dropped unnoticed would leave the result unknown. */
    duration longestIdleForOnce = std::chrono::seconds(1);
};

/** What every part of the request path uses. */
struct query_environment
{
    net::loop &loop;
    const clock &time;
    const logger &log;
    serving_metrics &metrics;
    target_directory &directory;
};

/**
    Serves callers' requests: one to a single target, or one to a target of every shard.

    It alone decides on targets, retries, second attempts and the time of the answer. The format
    translates messages. @see request_format, scatter
*/
template <request_format Format>
class query_service
{
public:
    query_service(query_environment environment, Format format, query_settings settings,
                  shared_retry_limits retryTerms);

    /** Serves a request to its end. */
    void serve(std::unique_ptr<http::caller_exchange> exchange);

    /** Sets the configuration for requests that begin from now on. */
    void setConfiguration(configuration_pointer activeConfiguration)
    {
        m_configuration = std::move(activeConfiguration);
    }
    [[nodiscard]] const configuration_pointer &activeConfiguration() const noexcept
    {
        return m_configuration;
    }

    /** Begins to serve; requests that came before are held for a short time until then. */
    void open();

    /** Sets how many hosts share the limits. Precondition: at least one. */
    void setMemberCount(std::size_t count);

    /** Sets the settings of requests that begin from now on. */
    void setSettings(const query_settings &settings, const shared_retry_limits &retryTerms);

    /** Drops what belongs to targets that are gone. Call it from time to time. */
    void closeUnused() { m_connections.closeUnused(m_environment.directory); }

    /** Tries the requests that wait for a target again, as targets have changed. */
    void retryWaitingRequests();

    [[nodiscard]] std::size_t runningCount() const noexcept { return m_queries.size(); }

private:
    /** The target for the next attempt of a shard, or why there is none. */
    struct target_choice
    {
        target *chosen = nullptr;
        /** Why there is none. */
        shard_gap gap = shard_gap::None;
        std::size_t connections = 1;
    };

    /** Orders waiting requests: the most urgent first, then the earliest deadline. */
    using waiting_key = std::tuple<route_priority, time_point, query_number, std::size_t>;

    void dispatch(std::unique_ptr<http::caller_exchange> exchange);
    void releaseEarly();
    void start(std::unique_ptr<http::caller_exchange> exchange, caller_request call,
               const route &matched);
    /** Returns for how long a caller has been waiting when its request arrives. */
    [[nodiscard]] duration callerWait(const http::caller_exchange &exchange, duration deadline,
                                      const route &matched,
                                      const route_statistics &statistics) const;
    [[nodiscard]] scatter_parameters termsFor(time_point arrival, duration callerWait,
                                              duration deadline, const route &matched) const;
    /** Returns whether a try comes so late that it cannot meet the objective of the first one. */
    static bool isLate(duration firstTry, const route &matched);

    /** Orders requests that wait to be sent: those that can meet their objective before late tries,
        then the most urgent first, then the earliest end. */
    using entering_key = std::tuple<bool, route_priority, time_point, query_number>;
    [[nodiscard]] static entering_key keyOf(const query &asked)
    {
        return {asked.isLateTry, asked.matched->priority, asked.progress.parameters().end,
                asked.number};
    }

    void enter(query &asked);
    [[nodiscard]] duration entryWait(const query &asked) const;
    [[nodiscard]] duration shardWait(const query &asked) const;
    /** Sends a request if enough shards have room, or gives it up if too few have targets.
        @returns whether it need not wait for room */
    bool admit(query &asked);
    void admitEntering();
    [[nodiscard]] target_choice chooseFor(const query &asked, std::size_t shard);
    bool send(query &asked, std::size_t shard);
    void transmit(query &asked, std::size_t shard, const target_choice &choice);
    void await(query &asked, std::size_t shard, time_point until);
    /** Returns the time until a request is on its way, or nothing if it cannot be sent now. */
    std::optional<duration> connectingTime(const target &candidate, std::size_t connections);
    void giveUpWaiting(query &asked);
    void onExchangeEnd(std::uint64_t number, http::exchange_result &&result);
    void noteEvidence(const attempt &ended, target_observation evidence);
    void takeAnswer(const attempt &ended, attempt_outcome end, std::optional<target_answer> answer);
    void retry(query &asked, std::size_t shard);
    /** Returns the part of a budget that second attempts have to leave. @see hedge_window */
    static double keptFromHedges(const limits::retry_budget &budget, double progress);
    void hedge(query &asked);
    void settle(query &asked);
    void schedule(query &asked);
    void onTimer(query_number number);
    void finish(query &asked, scatter_decision decision);
    http::reply answerOf(query &asked) const;
    http::reply failureOf(query &asked, request_failure &reason) const;
    [[nodiscard]] duration answerMargin() const;
    [[nodiscard]] duration roomLimit(const route &matched) const;
    void explainRoom(const query &asked) const;
    void report(const query &asked, std::string_view outcome, int status) const;
    void abandon(query_number number);
    void release(query_number number);
    void wakeWaiting(const service_id &service);
    void expireAttempts();
    std::shared_ptr<route_statistics> statisticsOf(const route &matched);

    query_environment m_environment;
    Format m_format;
    query_settings m_settings;
    retry_budgets m_budgets;
    target_connections m_connections;
    configuration_pointer m_configuration;
    std::map<route_id, std::shared_ptr<route_statistics>> m_statistics;
    std::unordered_map<query_number, std::unique_ptr<query>> m_queries;
    std::unordered_map<std::uint64_t, attempt> m_attempts;
    std::map<service_id, std::set<waiting_key>> m_waiting;
    /** Requests for which too few shards have room, the most urgent first; nothing of them has
        been sent. */
    std::set<entering_key> m_entering;
    std::size_t m_memberCount = 1;
    query_number m_lastQuery = 0;
    std::uint64_t m_lastAttempt = 0;
    /** How late timers of this host run, which its answers are as well. */
    latency_histogram m_lag;
    net::timer m_expiry;
    bool m_isExpiryRunning = false;
    /** Requests that came before open(). */
    std::vector<std::unique_ptr<http::caller_exchange>> m_early;
    net::timer m_opening;
    net::timer m_entry;
    bool m_isOpen = false;
};

} // namespace mustardcourse::serving

#include <mustardcourse/serving/query_service_implementation.h>

#include <mustardcourse/serving/query_service_admission.h>
#include <mustardcourse/serving/query_service_answers.h>
#include <mustardcourse/serving/query_service_attempts.h>
