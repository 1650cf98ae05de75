// Guards against requests that wait in their host's link behind what it relays to other hosts, so
// that a target learns the remaining time of a caller too late.

#include "limited_link.h"
#include "loop_fixture.h"
#include "platform_store.h"
#include "platform_target.h"

#include <mustardcourse/http/client_pool.h>
#include <mustardcourse/store/change_relay.h>
#include <mustardcourse/store/relay_choice.h>

#include <platform_host.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace mustardcourse;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::uint16_t storePort = 20911;
constexpr std::uint16_t callerPort = 20912;
constexpr std::uint16_t relayPort = 20915;
constexpr std::uint16_t targetPort = 20916;
constexpr std::uint16_t relayLinkPort = 20917;
constexpr std::uint16_t targetLinkPort = 20918;
/** The link of a small host. */
constexpr double linkMegabits = 20;
/** Time that a target may be told beyond what a caller has left. */
constexpr duration maximumExcess = 500ms;
/** Time after which a host stops waiting for its relay. */
constexpr duration relayTimeout = 2s;

endpoint local(std::uint16_t port)
{
    return {"127.0.0.1", port};
}

settings::serving_settings hostSettings()
{
    settings::serving_settings settings;
    settings.host = host_id("host-1");
    settings.dataCentre = data_centre_id("riga");
    settings.callerListen = local(callerPort);
    settings.readinessListen = local(callerPort + 1);
    settings.metricsListen = local(callerPort + 2);
    settings.relayListen = local(relayPort);
    settings.linkRate = data_rate::megabitsPerSecond(linkMegabits);
    settings.store = local(storePort);
    settings.logLevel = log_level::Error;
    return settings;
}

/** A host that is the relay of its data centre, behind a slow link to one target and to other hosts
    that wait for changes. */
class relay_fixture : public tests::loop_fixture
{
public:
    explicit relay_fixture(std::size_t followerCount)
    {
        link.forward(local(relayLinkPort), local(relayPort),
                     standins::limited_link::host_side::Dialled);
        link.forward(local(targetLinkPort), local(targetPort),
                     standins::limited_link::host_side::Accepted);
        addMembersThatPreferTheHost();
        json registration = json::parse(target.registration("riga", "ready", 1));
        registration["Address"] = local(targetLinkPort).toString();
        store.put("servers/i-0", registration.dump());
        writeConfiguration(1, 0);
        host.emplace(loop, time, log, hostSettings(), "/nonexistent/settings.ini");
        runUntil([&] { return exchange(callerPort + 1, "GET / HTTP/1.1\r\n").status == 200; });
        for (std::size_t number = 0; number < followerCount; ++number)
            requestChanges();
        runFor(200ms);
        REQUIRE(followerStatuses.empty());
    }

    void writeConfiguration(std::uint64_t version, std::size_t furtherRoutes)
    {
        json routes = json::array();
        for (std::size_t number = 0; number <= furtherRoutes; ++number)
            routes.push_back({{"Name", fmt::format("route-{}", number)},
                              {"Host", "h"},
                              {"PathPrefix", fmt::format("/path-{}/", number)},
                              {"RouteType", "idempotent"},
                              {"TimeoutMs", 5000},
                              {"TargetLatencyMs", 2000},
                              {"Priority", 1},
                              {"MaxAttempts", 2},
                              {"Service", "s1"}});
        const json service{{"Name", "s1"}, {"HealthPath", "/health"}, {"MaxConnections", 20}};
        store.put(
            "op/config",
            json{{"ConfigVersion", version}, {"Routes", routes}, {"Services", {service}}}.dump());
    }

    std::uint64_t activeVersion()
    {
        const http::response status = exchange(callerPort + 2, "GET /status HTTP/1.1\r\n");
        return json::parse(status.body).at("configuration").at("version").get<std::uint64_t>();
    }

    /** Sends a caller's request and returns by how much its target was told too much time. */
    duration sendAndReturnExcess()
    {
        constexpr std::chrono::milliseconds deadline{3000};
        const std::size_t arrivalsBefore = target.arrivalCount();
        const time_point sentAt = time.now();
        http::client_pool pool(loop, time, local(callerPort), {.maximumConnections = 1});
        pool.send({.bytes = fmt::format("GET /path-0/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id\r\n"
                                        "X-Time-Budget-Ms: {}\r\n\r\n",
                                        deadline.count()),
                   .matchesRequest = {},
                   .onEnd = [](http::exchange_result &&) {}});
        runUntil([&] { return target.arrivalCount() > arrivalsBefore; });
        const duration remaining = deadline - (time.now() - sentAt);
        const auto told = http::findHeader(target.lastRequest().headers, "X-Time-Budget-Ms");
        return std::chrono::milliseconds(std::stoll(std::string(told.value_or("0")))) - remaining;
    }

    http::response exchange(std::uint16_t port, const std::string &requestLine)
    {
        http::client_pool pool(loop, time, local(port), {.maximumConnections = 1});
        std::optional<http::exchange_result> result;
        pool.send({.bytes = requestLine + "Host: h\r\n\r\n",
                   .matchesRequest = {},
                   .onEnd = [&](http::exchange_result &&ended) { result = std::move(ended); }});
        runUntil([&] { return result.has_value(); });
        return std::move(result->answer);
    }

    /** Statuses of the relay's responses to the other hosts, in the order of their arrival. */
    std::vector<int> followerStatuses;

private:
    /** Adds enough hosts for a relay, none of which is preferred to the host under test. */
    void addMembersThatPreferTheHost()
    {
        const store::member_entry entry{data_centre_id("riga"), local(1)};
        store::member_entries members{{"host-1", entry}};
        for (std::size_t number = 0; members.size() < 8; ++number) {
            const std::string name = fmt::format("member-{}", number);
            members[name] = entry;
            const auto relay = store::chooseRelay(members, entry.dataCentre);
            if (relay && relay != "host-1")
                members.erase(name);
        }
        for (const auto &[name, member] : members)
            store.put("hosts/" + name, store::encodeMember(member));
    }

    void requestChanges()
    {
        const store::store_position current{store::store_era(store.era()),
                                            revision(store.revision())};
        constexpr std::size_t mebibyte = 1024 * 1024;
        followers.push_back(std::make_unique<http::client_pool>(
            loop, time, local(relayLinkPort),
            http::client_pool_settings{.maximumConnections = 1,
                                       .responseLimits = {mebibyte, 8 * mebibyte}}));
        followers.back()->send(
            {.bytes = fmt::format("GET {} HTTP/1.1\r\nHost: h\r\n\r\n", relayTarget(current)),
             .matchesRequest = {},
             .onEnd = [this](http::exchange_result &&result) {
                 followerStatuses.push_back(result.answer.status);
             }});
    }

    logger log{time, "test", log_level::Error};
    standins::platform_store store{loop, time, local(storePort)};
    standins::platform_target target{
        loop, time, local(targetPort), {.instance = "i-0", .service = "s1"}};
    standins::limited_link link{loop, time,
                                data_rate::megabitsPerSecond(linkMegabits).bytesPerSecond()};
    std::optional<platform_adapter::platform_host> host;
    std::vector<std::unique_ptr<http::client_pool>> followers;
};

} // namespace

TEST_CASE("a target is told the time that a caller has left while its host relays a configuration")
{
    struct row
    {
        std::string name;
        std::size_t followers;
        std::size_t furtherRoutes;
    };
    const row rows[] = {
        {"small configuration", 15, 10},
        {"large configuration", 15, 1400},
        {"large configuration and many hosts", 40, 1400},
        {"very large configuration", 15, 4200},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        relay_fixture f(testCase.followers);
        const time_point begin = f.time.now();
        f.writeConfiguration(2, testCase.furtherRoutes);
        f.runUntil([&] { return f.activeVersion() == 2; });
        CHECK(f.sendAndReturnExcess() <= maximumExcess);
        f.runUntil([&] { return f.followerStatuses.size() == testCase.followers; }, 20s);
        // Hosts that wait longer than this query the store only after the relay's time-out.
        CHECK(f.time.now() - begin <= relayTimeout);
        for (const int status : f.followerStatuses)
            CHECK((status == store::relay_status::changes
                   || status == store::relay_status::overLimit));
    }
}
