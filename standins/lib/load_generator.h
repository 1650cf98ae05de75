#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/limits/customer_class.h>
#include <mustardcourse/wire/http_connection.h>

#include <kj/vector.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mustardcourse::standins {

/** Parameters of a load run. */
struct load_plan
{
    std::vector<endpoint> hosts;
    std::string service;
    /** Mean arrivals per second over all hosts, as a Poisson process. */
    double ratePerSecond = 100;
    /** Duration over which requests arrive. */
    duration length = std::chrono::seconds(10);
    /** Time allowed for each request, sent as deadline_ms. */
    duration deadline = std::chrono::milliseconds(1000);
    /** Fraction of arrivals that are non-idempotent requests. */
    double requestFraction = 0;
    /** Relative frequencies of the customer classes low, normal and high. */
    std::vector<double> classWeights{0, 1, 0};
    std::size_t maximumConnectionsPerHost = 256;
    std::uint64_t seed = 1;
};

/** Result of one arrival. */
struct load_sample
{
    limits::customer_class importance = limits::customer_class::Normal;
    bool isLookup = true;
    /** Outcome in the response ("answered" or "done" if successful), or why there is none. */
    std::string outcome;
    /** Measured from the intended start, so that delays of the generator are included. */
    duration latency{};
    /** Number of shards that answered, and number that were expected to. */
    std::size_t answered = 0;
    std::size_t expected = 0;
    std::uint32_t targetCalls = 0;
};

/**
    Generates an open-loop load: arrivals do not wait for earlier responses.

    Requests go to the hosts in round-robin order, each on an idle or a new connection.
*/
class load_generator
{
public:
    load_generator(wire::event_loop &loop, const clock &clock, load_plan plan);

    /** Runs the load; resolves to a sample for each arrival when all have ended. */
    kj::Promise<std::vector<load_sample>> run();

private:
    struct host_connections
    {
        endpoint address;
        std::vector<std::unique_ptr<wire::http_connection>> connections;
    };

    kj::Promise<void> sendDueRequests(time_point intendedStart);
    void sendRequest(time_point intendedStart);
    void recordSample(load_sample sample, const wire::exchange_result &result,
                      time_point intendedStart);
    /** Returns nullptr if all connections to the next host are busy and no more are allowed. */
    wire::http_connection *nextIdleConnection();

    wire::event_loop &m_loop;
    const clock &m_clock;
    load_plan m_plan;
    std::mt19937_64 m_random;
    std::vector<host_connections> m_hosts;
    std::size_t m_nextHost = 0;
    std::uint64_t m_nextRequest = 0;
    time_point m_endTime;
    std::vector<load_sample> m_samples;
    kj::Vector<kj::Promise<void>> m_pendingRequests;
};

} // namespace mustardcourse::standins
