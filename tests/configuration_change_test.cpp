// Guards against hosts that use a part of an older configuration or fall behind the newest one.

#include "blocking_connection.h"
#include "single_host_fixture.h"

using namespace mustardcourse;
using namespace std::chrono_literals;
using tests::single_host_fixture;

namespace {

/** Time within which the platform requires a confirmed configuration to apply. */
constexpr duration activationTimeLimit = 3s;
/** Time from the end of an outage of the store from which a host counts as undisturbed. */
constexpr duration contactTime = 4s;

/** Returns a configuration with one route and these limits on callers' requests. */
std::string configurationWithLimits(std::uint64_t version, const nlohmann::json &limits)
{
    using nlohmann::json;
    const json route{{"Name", "route-0"},
                     {"Host", "h"},
                     {"PathPrefix", "/path-0/"},
                     {"RouteType", "idempotent"},
                     {"TimeoutMs", 5000},
                     {"TargetLatencyMs", 2000},
                     {"Priority", 1},
                     {"MaxAttempts", 2},
                     {"Service", "s1"}};
    const json service{{"Name", "s1"}, {"HealthPath", "/health"}, {"MaxConnections", 20}};
    return json{{"ConfigVersion", version},
                {"Routes", {route}},
                {"Services", {service}},
                {"Limits", limits}}
        .dump();
}

nlohmann::json limitsOf(std::size_t headerBytes, std::size_t bodyBytes,
                        std::chrono::milliseconds idleTimeout)
{
    return {{"MaxHeaderBytes", headerBytes},
            {"MaxBodyBytes", bodyBytes},
            {"HeaderTimeoutMs", 3000},
            {"IdleTimeoutMs", idleTimeout.count()}};
}

/** Returns a request with a header field and a body of these sizes. */
std::string requestOfSize(std::size_t fieldBytes, std::size_t bodyBytes)
{
    return fmt::format("POST /path-0/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id\r\n"
                       "X-Time-Budget-Ms: 3000\r\nX-Filler: {}\r\nContent-Length: {}\r\n\r\n{}",
                       std::string(fieldBytes, 'f'), bodyBytes, std::string(bodyBytes, 'b'));
}

/** Sends a request and returns the status of its response. */
int statusOf(single_host_fixture &fixture, const tests::blocking_connection &connection,
             const std::string &request)
{
    connection.send(request);
    std::string received;
    fixture.runUntil([&] {
        received += connection.receive();
        return received.find("\r\n\r\n") != std::string::npos;
    });
    return std::stoi(received.substr(received.find(' ')));
}

} // namespace

TEST_CASE("a connection that is open while the limits on requests change follows the new ones")
{
    struct row
    {
        std::string name;
        nlohmann::json before;
        nlohmann::json after;
        std::size_t fieldBytes;
        std::size_t bodyBytes;
        int expected;
    };
    const row rows[] = {
        {"larger headers", limitsOf(1000, 1000, 15s), limitsOf(8000, 1000, 15s), 4000, 10, 200},
        {"larger bodies", limitsOf(1000, 1000, 15s), limitsOf(1000, 8000, 15s), 10, 4000, 200},
        {"smaller headers", limitsOf(8000, 1000, 15s), limitsOf(1000, 1000, 15s), 4000, 10, 431},
        {"smaller bodies", limitsOf(1000, 8000, 15s), limitsOf(1000, 1000, 15s), 10, 4000, 413},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        single_host_fixture f;
        f.registerTarget(single_host_fixture::local(single_host_fixture::targetPort));
        f.store.put("op/config", configurationWithLimits(1, testCase.before));
        f.startHost(single_host_fixture::hostSettings());
        const tests::blocking_connection unused(single_host_fixture::callerPort);
        const tests::blocking_connection used(single_host_fixture::callerPort);
        CHECK(statusOf(f, used, requestOfSize(10, 10)) == 200);
        f.store.put("op/config", configurationWithLimits(2, testCase.after));
        f.runUntil([&] { return f.activeVersion() == 2; }, activationTimeLimit);
        const std::string request = requestOfSize(testCase.fieldBytes, testCase.bodyBytes);
        CHECK(statusOf(f, used, request) == testCase.expected);
        CHECK(statusOf(f, unused, request) == testCase.expected);
        const tests::blocking_connection opened(single_host_fixture::callerPort);
        CHECK(statusOf(f, opened, request) == testCase.expected);
    }
}

TEST_CASE("a connection that is idle while the time allowed for it grows stays open for that time")
{
    single_host_fixture f;
    f.registerTarget(single_host_fixture::local(single_host_fixture::targetPort));
    f.store.put("op/config", configurationWithLimits(1, limitsOf(1000, 1000, 1s)));
    f.startHost(single_host_fixture::hostSettings());
    const tests::blocking_connection idle(single_host_fixture::callerPort);
    CHECK(statusOf(f, idle, requestOfSize(10, 10)) == 200);
    f.store.put("op/config", configurationWithLimits(2, limitsOf(1000, 1000, 15s)));
    f.runFor(2s);
    CHECK(statusOf(f, idle, requestOfSize(10, 10)) == 200);
}

TEST_CASE("a host takes in the newest configuration after a burst that it could not follow")
{
    struct row
    {
        std::string name;
        std::size_t versions;
        std::size_t routes;
        standins::store_mode outage;
        /** Size of a response of a watch from which further changes follow in the next one. */
        std::size_t responseBytes = std::numeric_limits<std::size_t>::max();
    };
    // Hosts accept 8 MB from the store at once; a version with 1,450 routes has 300 KB in a
    // response.
    const row rows[] = {
        {"few versions", 4, 1450, standins::store_mode::Unavailable},
        {"many small versions", 200, 10, standins::store_mode::Unavailable},
        {"many large versions", 20, 1450, standins::store_mode::Unavailable},
        {"more than a response may hold", 40, 1450, standins::store_mode::Unavailable},
        {"more than a response holds", 40, 1450, standins::store_mode::Unavailable, 1'000'000},
        {"more than a response may hold after silence", 40, 1450,
         standins::store_mode::Unresponsive},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        single_host_fixture f;
        f.startHostWithOneRoute();
        f.store.setWatchResponseBytes(testCase.responseBytes);
        f.store.setMode(testCase.outage);
        f.runFor(500ms);
        const std::uint64_t last = 1 + testCase.versions;
        for (std::uint64_t version = 2; version <= last; ++version)
            f.writeConfiguration(version, testCase.routes);
        const double readBefore = f.metric("mustardcourse_configurations_read_total");
        f.store.setMode(standins::store_mode::Serving);
        const time_point outageEnd = f.time.now();
        f.runUntil([&] { return f.activeVersion() == last; }, 20s);
        CHECK(f.time.now() - outageEnd <= contactTime);
        // Decoding blocks a small host for a third of a second a version.
        CHECK(f.metric("mustardcourse_configurations_read_total") - readBefore <= 2);
        MESSAGE(
            testCase.name, ": ",
            std::chrono::duration_cast<std::chrono::milliseconds>(f.time.now() - outageEnd).count(),
            " ms after the outage");
    }
}
