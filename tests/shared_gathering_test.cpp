// Guards against lookups that lose shards, run them too often or count them wrongly as other hosts
// gather them, whatever happens to those hosts.

#include "blocking_connection.h"
#include "loop_fixture.h"
#include "platform_store.h"
#include "platform_target.h"

#include <mustardcourse/http/client_pool.h>
#include <mustardcourse/store/relay_choice.h>

#include <platform_host.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <set>

using namespace mustardcourse;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t storePort = 20911;
constexpr std::uint16_t firstHostPort = 20920;
constexpr std::uint16_t phantomPort = 20940;
constexpr std::uint16_t firstTargetPort = 20950;
constexpr std::size_t hostCount = 4;
constexpr std::size_t shardCount = 12;
constexpr std::size_t targetsPerShard = 2;
/** So little that a lookup over all shards has several parts. */
constexpr core_share hostCores{0.031};
/** So much that its host gathers all parts of all hosts. */
constexpr core_share phantomCores{0.5};

/** Some hosts of one data centre, the store, and two targets for each shard. */
class gathering_fixture : public tests::loop_fixture
{
public:
    gathering_fixture()
    {
        for (std::size_t i = 0; i < shardCount * targetsPerShard; ++i) {
            const auto port = static_cast<std::uint16_t>(firstTargetPort + i);
            targets.push_back(std::make_unique<standins::platform_target>(
                loop, time, endpoint("127.0.0.1", port),
                standins::platform_target_settings{.instance = fmt::format("i-{}", i),
                                                   .service = fmt::format("s{}", i % shardCount)}));
            store.put(fmt::format("servers/i-{}", i), targets[i]->registration("riga", "ready", 1));
        }
        writeConfiguration();
        for (std::size_t i = 0; i < hostCount; ++i)
            startHost(i);
        runUntil([&] { return store.keyCount("hosts/") == hostCount; });
        // Every host sees all others, and takes part in rates.
        runFor(3s);
    }

    void startHost(std::size_t number)
    {
        settings::serving_settings settings;
        settings.host = host_id(fmt::format("host-{}", number));
        settings.dataCentre = data_centre_id("riga");
        settings.cores = hostCores;
        const auto port = static_cast<std::uint16_t>(firstHostPort + 4 * number);
        settings.callerListen = endpoint("127.0.0.1", port);
        settings.readinessListen = endpoint("127.0.0.1", port + 1);
        settings.metricsListen = endpoint("127.0.0.1", port + 2);
        settings.relayListen = endpoint("127.0.0.1", port + 3);
        settings.store = endpoint("127.0.0.1", storePort);
        settings.retryRatio = 0.2;
        settings.retryAllowance = 100;
        settings.logLevel = log_level::Error;
        hosts[number] = std::make_unique<platform_adapter::platform_host>(
            loop, time, log, settings, "/nonexistent/settings.ini");
    }

    void writeConfiguration()
    {
        using nlohmann::json;
        json services = json::array();
        json shards = json::array();
        for (std::size_t i = 0; i < shardCount; ++i) {
            const std::string name = fmt::format("s{}", i);
            shards.push_back(name);
            services.push_back({{"Name", name}, {"HealthPath", "/health"}, {"MaxConnections", 40}});
        }
        const json route{{"Name", "all"},
                         {"Host", "h"},
                         {"PathPrefix", "/all/"},
                         {"RouteType", "idempotent"},
                         {"TimeoutMs", 1000},
                         {"TargetLatencyMs", 300},
                         {"Priority", 1},
                         {"MaxAttempts", 2},
                         {"FanoutServices", shards},
                         {"ResultCount", 5},
                         {"MinShardShare", 0.9}};
        store.put("op/config",
                  json{{"ConfigVersion", 1}, {"Routes", {route}}, {"Services", services}}.dump());
    }

    /** Makes all hosts prefer a member that is not one of them. */
    void addPhantom(std::uint16_t port)
    {
        store.put("hosts/phantom",
                  store::encodeMember(
                      {data_centre_id("riga"), endpoint("127.0.0.1", port), phantomCores}));
        runFor(2s);
    }

    http::response lookUp(std::size_t host, const std::string &id)
    {
        const auto port = static_cast<std::uint16_t>(firstHostPort + 4 * host);
        http::client_pool pool(loop, time, endpoint("127.0.0.1", port), {.maximumConnections = 1});
        std::optional<http::exchange_result> result;
        http::exchange_request request;
        request.bytes = fmt::format("GET /all/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {}\r\n"
                                    "X-Time-Budget-Ms: 900\r\n\r\n",
                                    id);
        request.onEnd = [&](http::exchange_result &&ended) { result = std::move(ended); };
        pool.send(std::move(request));
        runUntil([&] { return result.has_value(); });
        return std::move(result->answer);
    }

    /** Checks an answer that is complete, and that no shard ran its request too often. */
    void checkComplete(const http::response &answer, const std::string &id)
    {
        CHECK(answer.status == 200);
        CHECK(http::findHeader(answer.headers, "X-Missing-Parts") == "0");
        const std::string stamps(
            http::findHeader(answer.headers, "X-Part-Stamps").value_or(std::string_view()));
        std::set<std::string> distinct;
        for (std::size_t begin = 0; begin < stamps.size();) {
            const std::size_t end = std::min(stamps.find(", ", begin), stamps.size());
            distinct.insert(stamps.substr(begin, end - begin));
            begin = end + 2;
        }
        CHECK(distinct.size() == shardCount);
        for (const std::string &stamp : distinct)
            CHECK(stamp.ends_with(id));
        for (std::size_t shard = 0; shard < shardCount; ++shard)
            CHECK(runsOf(shard, id) <= 2);
    }

    [[nodiscard]] std::size_t runsOf(std::size_t shard, const std::string &id) const
    {
        std::size_t runs = 0;
        for (std::size_t i = shard; i < targets.size(); i += shardCount)
            runs += targets[i]->runCountOf(id);
        return runs;
    }

    /** Returns the value of a metric of a host, with its labels in the name. */
    double metric(std::size_t host, const std::string &name)
    {
        const auto port = static_cast<std::uint16_t>(firstHostPort + 4 * host + 2);
        http::client_pool pool(loop, time, endpoint("127.0.0.1", port), {.maximumConnections = 1});
        std::optional<http::exchange_result> result;
        pool.send({.bytes = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
                   .matchesRequest = {},
                   .onEnd = [&](http::exchange_result &&ended) { result = std::move(ended); }});
        runUntil([&] { return result.has_value(); });
        const std::string text = "\n" + result->answer.body;
        const auto line = text.find("\n" + name + " ");
        return line == std::string::npos ? 0 : std::stod(text.substr(line + name.size() + 2));
    }

    logger log{time, "test", log_level::Error};
    standins::platform_store store{loop, time, endpoint("127.0.0.1", storePort)};
    std::vector<std::unique_ptr<standins::platform_target>> targets;
    std::array<std::unique_ptr<platform_adapter::platform_host>, hostCount> hosts;
};

} // namespace

TEST_CASE("a lookup that other hosts gather has every shard once")
{
    gathering_fixture f;
    for (std::size_t host = 0; host < hostCount; ++host) {
        CAPTURE(host);
        for (int i = 0; i < 5; ++i) {
            const std::string id = fmt::format("id-{}-{}", host, i);
            f.checkComplete(f.lookUp(host, id), id);
        }
    }
    double sent = 0;
    double gathered = 0;
    for (std::size_t host = 0; host < hostCount; ++host) {
        sent += f.metric(host, "mustardcourse_sent_parts_total{end=\"answered\"}");
        gathered += f.metric(host, "mustardcourse_gathered_parts_total{outcome=\"answered\"}");
    }
    // Three parts a lookup, of which each host gathers at most one itself.
    CHECK(sent >= 5 * (3 * hostCount - 3));
    CHECK(gathered == 5 * 3 * hostCount);
}

TEST_CASE("lookups are complete while hosts that should gather them are missing")
{
    struct row
    {
        std::string name;
        void (*change)(gathering_fixture &);
    };
    const row rows[] = {
        {"a host has just ended", [](gathering_fixture &f) { f.hosts[3].reset(); }},
        {"two hosts have just ended",
         [](gathering_fixture &f) {
             f.hosts[2].reset();
             f.hosts[3].reset();
         }},
        {"the preferred host refuses connections",
         [](gathering_fixture &f) { f.addPhantom(phantomPort); }},
        {"the preferred host is at an address that rejects parts",
         [](gathering_fixture &f) { f.addPhantom(firstHostPort); }},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        gathering_fixture f;
        item.change(f);
        for (int i = 0; i < 6; ++i) {
            const std::string id = fmt::format("id-{}", i);
            f.checkComplete(f.lookUp(static_cast<std::size_t>(i) % 2, id), id);
        }
    }
}

TEST_CASE("lookups are complete while the host that should gather them is silent")
{
    gathering_fixture f;
    // The kernel accepts connections and requests that nobody reads.
    const tests::silent_listener silent(phantomPort);
    f.addPhantom(phantomPort);
    const time_point begin = f.time.now();
    for (int i = 0; i < 6; ++i) {
        const std::string id = fmt::format("id-{}", i);
        f.checkComplete(f.lookUp(static_cast<std::size_t>(i) % 2, id), id);
    }
    // Each host waits once for the silent one, a quarter of the objective or 50 ms.
    CHECK(f.time.now() - begin < 6 * 300ms);
}

TEST_CASE("the shards that a gatherer lacks are counted as missing")
{
    struct row
    {
        std::string name;
        std::size_t failingShards;
        int status;
    };
    const row rows[] = {{"none", 0, 200}, {"one", 1, 200}, {"two", 2, 502}, {"all", 12, 502}};
    for (const row &item : rows) {
        CAPTURE(item.name);
        gathering_fixture f;
        for (std::size_t i = 0; i < f.targets.size(); ++i) {
            if (i % shardCount < item.failingShards)
                f.targets[i]->setFault(standins::target_fault::ServerError);
        }
        const http::response answer = f.lookUp(0, "id-1");
        CHECK(answer.status == item.status);
        if (answer.status == 200)
            CHECK(http::findHeader(answer.headers, "X-Missing-Parts")
                  == std::to_string(item.failingShards));
    }
}

TEST_CASE("a lookup that no target has run is refused with a time to come back")
{
    gathering_fixture f;
    for (const auto &target : f.targets)
        target->setRequestedPause("3");
    f.lookUp(0, "id-1");
    f.lookUp(1, "id-2");
    const http::response answer = f.lookUp(0, "id-3");
    CHECK(answer.status == 503);
    CHECK(std::stod(std::string(http::findHeader(answer.headers, "Retry-After").value_or("0")))
          > 1);
    for (std::size_t shard = 0; shard < shardCount; ++shard)
        CHECK(f.runsOf(shard, "id-3") == 0);
}
