// Guards against a planned stop that cuts requests at the end of its grace period.

#include "single_host_fixture.h"

#include <csignal>

using namespace mustardcourse;
using namespace std::chrono_literals;
using tests::single_host_fixture;

namespace {

constexpr duration stopGrace = 6s;
/** Time that the head of a request takes to arrive; hosts allow 3 s. */
constexpr duration headTime = 2900ms;

/** Writes a configuration with an idempotent route "/path-0/" and another one "/once/". */
void writeRoutes(single_host_fixture &fixture)
{
    using nlohmann::json;
    json routes = json::array();
    for (const auto &[prefix, type] :
         {std::pair("/path-0/", "idempotent"), std::pair("/once/", "non_idempotent")})
        routes.push_back({{"Name", prefix},
                          {"Host", "h"},
                          {"PathPrefix", prefix},
                          {"RouteType", type},
                          {"TimeoutMs", 20000},
                          {"TargetLatencyMs", 800},
                          {"Priority", 1},
                          {"MaxAttempts", 1},
                          {"Service", "s1"}});
    const json service{{"Name", "s1"}, {"HealthPath", "/health"}, {"MaxConnections", 20}};
    fixture.store.put(
        "op/config",
        json{{"ConfigVersion", 1}, {"Routes", routes}, {"Services", {service}}}.dump());
}

} // namespace

TEST_CASE("a planned stop answers or refuses each request that it has read whenever it came")
{
    struct row
    {
        std::string name;
        std::string path;
        /** Time from the signal until the request has arrived. */
        duration arrival;
        std::chrono::milliseconds workTime;
        std::chrono::milliseconds callerDeadline;
        int expected;
        std::size_t expectedRuns;
    };
    const row rows[] = {
        {"early and short", "/path-0/x", 500ms, 10ms, 15'000ms, 200, 1},
        {"early and long", "/path-0/x", 500ms, 3000ms, 15'000ms, 200, 1},
        {"early and too long", "/path-0/x", 500ms, 7000ms, 15'000ms, 504, 1},
        {"early and too long and at most once", "/once/x", 500ms, 7000ms, 15'000ms, 504, 1},
        {"late and short", "/path-0/x", 3500ms, 10ms, 15'000ms, 200, 1},
        {"late and too long", "/path-0/x", 3500ms, 4000ms, 15'000ms, 504, 1},
        {"late and at most once", "/once/x", 3500ms, 10ms, 15'000ms, 503, 0},
        {"late and at most once within its deadline", "/once/x", 3500ms, 10ms, 4500ms, 200, 1},
        {"too late", "/path-0/x", 5200ms, 10ms, 15'000ms, 503, 0},
        {"too late and at most once", "/once/x", 5200ms, 10ms, 15'000ms, 503, 0},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        single_host_fixture f;
        f.registerTarget(single_host_fixture::local(single_host_fixture::targetPort));
        writeRoutes(f);
        f.target.setWorkTime(testCase.workTime);
        f.startHost(single_host_fixture::hostSettings());
        const tests::blocking_connection caller(single_host_fixture::callerPort);
        f.runFor(100ms);
        std::raise(SIGTERM);
        const time_point signalled = f.time.now();
        // The head begins to arrive while the connection is still open.
        const duration begin = std::max<duration>(testCase.arrival - headTime, 0ms);
        f.runUntil([&] { return f.time.now() - signalled >= begin; }, 10s);
        caller.send(fmt::format("GET {} HTTP/1.1\r\nHost: h\r\n", testCase.path));
        f.runUntil([&] { return f.time.now() - signalled >= testCase.arrival; }, 10s);
        caller.send(fmt::format("X-Attempt-Id: id\r\nX-Time-Budget-Ms: {}\r\n\r\n",
                                testCase.callerDeadline.count()));
        std::string received;
        f.runUntil(
            [&] {
                received += caller.receive();
                return !received.empty() || f.time.now() - signalled > stopGrace;
            },
            10s);
        CHECK(f.time.now() - signalled <= stopGrace);
        CHECK(received.substr(0, 12) == fmt::format("HTTP/1.1 {}", testCase.expected));
        CHECK(f.target.runCount() == testCase.expectedRuns);
    }
}
