#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/wire/http_server.h>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace mustardcourse::standins {

/** Behaviour of a target_server. All fields can be changed while it runs. */
struct target_behaviour
{
    /** Maximum number of concurrent requests once warm; further requests are shed. */
    std::size_t slots = 4;
    /** Maximum number of concurrent requests while cold; one more overloads the target. */
    std::size_t coldSlots = 1;
    /** Number of searches that a target answers before it is warm. Zero starts it warm. */
    std::size_t coldSearches = 0;
    /** Time for which an overloaded target sheds all requests. */
    std::chrono::microseconds overloadRecoveryTime = std::chrono::milliseconds(500);
    /** Median and shape parameter of the log-normal service time. */
    std::chrono::microseconds serviceTime = std::chrono::milliseconds(2);
    double serviceSigma = 0.2;
    /** Fraction of requests that take stragglerFactor times as long. */
    double stragglerFraction = 0;
    double stragglerFactor = 10;
    /** Network delay added in each direction. */
    std::chrono::microseconds networkDelay{0};
    /** Index versions that the target holds. */
    std::vector<std::uint64_t> heldVersions{1};
    /** Number of shards of the index; zero accepts any. */
    std::uint32_t shardCount = 0;
    bool isLeaving = false;
    /** Health that the status endpoint reports, regardless of the actual state. */
    bool isReportedHealthy = true;
    /** Number of searches that are answered with the id of another request. */
    std::size_t mismatchedResponses = 0;
    /** Number of non-idempotent requests whose connection is aborted before or after they run. */
    std::size_t abortsBeforeRun = 0;
    std::size_t abortsAfterRun = 0;
};

/** Observations of a target_server, for checks. */
struct target_records
{
    /** Number of executions of each non-idempotent request, by its id. */
    std::map<std::string, std::size_t> executions;
    std::size_t searches = 0;
    std::size_t cancelled = 0;
    std::size_t shed = 0;
    std::size_t deadlinesPassed = 0;
    std::size_t peakRunning = 0;
    std::size_t peakRunningCold = 0;
    std::size_t coldOverloads = 0;
    std::size_t peakConnections = 0;
    time_point lastRequestTime;
};

/**
    A simulated target: it answers searches over generated documents and runs non-idempotent
    requests, with configurable latency and faults.
*/
class target_server
{
public:
    target_server(wire::event_loop &loop, const clock &clock, const endpoint &listenAddress,
                  target_behaviour behaviour, std::size_t maximumConnections, std::uint64_t seed);

    /** Handles a request. @see wire::http_handler */
    kj::Promise<wire::http_response> handle(const wire::http_request &request);

    /** Simulates a restart of the process: new incarnation, cold, all connections aborted. */
    void restart();

    [[nodiscard]] target_behaviour &behaviour() noexcept { return m_behaviour; }
    [[nodiscard]] const target_records &records() const noexcept { return m_records; }

private:
    class running_request;

    kj::Promise<wire::http_response> search(const wire::http_request &request);
    kj::Promise<wire::http_response> execute(const wire::http_request &request);
    wire::http_response finishSearch(const wire::http_request &request, time_point deadline);
    wire::http_response finishExecute(const std::string &id);
    wire::http_response status();
    wire::http_response control(const wire::http_request &request);
    wire::http_response rejectWith(int code, const char *reason);
    nlohmann::json statusFields() const;
    [[nodiscard]] bool isCold() const noexcept;
    [[nodiscard]] bool admit();
    duration drawServiceTime();

    wire::event_loop &m_loop;
    const clock &m_clock;
    target_behaviour m_behaviour;
    target_records m_records;
    std::mt19937_64 m_random;
    std::uint64_t m_incarnation = 1;
    std::size_t m_runningCount = 0;
    std::size_t m_searchesSinceStart = 0;
    time_point m_overloadedUntil;
    kj::Promise<void> m_restarting = nullptr;
    wire::http_server<target_server> m_server;
};

} // namespace mustardcourse::standins
