// Guards against a request that ends its targets and is sent to one target after the other.

#include "loop_fixture.h"
#include "platform_store.h"
#include "platform_target.h"

#include <mustardcourse/http/client_pool.h>
#include <mustardcourse/serving/suspect_requests.h>

#include <platform_host.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>

using namespace mustardcourse;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t storePort = 20800;
constexpr std::uint16_t firstHostPort = 20810;
constexpr std::uint16_t firstTargetPort = 20850;
constexpr std::size_t hostCount = 3;
constexpr std::size_t shardCount = 4;
constexpr std::size_t replicaCount = 3;
/** Targets under which the platform counts a request as one that ends them. */
constexpr std::size_t toleratedCrashes = 3;
/** Time after that from which hosts must know of it, and requests at targets that are allowed then.
 */
constexpr duration contactTime = 4s;
constexpr std::size_t toleratedRetries = 3;
/** Time after the end of a disruption from which requests have to be served. */
constexpr duration recoveryTime = 12s;

/** Hosts of the platform deployment, the store, and shards with several targets each. */
class fleet_fixture : public tests::loop_fixture
{
public:
    fleet_fixture()
    {
        for (std::size_t index = 0; index < shardCount * replicaCount; ++index) {
            targets.push_back(std::make_unique<standins::platform_target>(
                loop, time, targetAddress(index),
                standins::platform_target_settings{.instance = fmt::format("i-{}", index),
                                                   .service =
                                                       fmt::format("s{}", index / replicaCount)}));
            registerTarget(index);
        }
        writeConfiguration();
        for (std::size_t number = 0; number < hostCount; ++number)
            startHost(number);
        for (std::size_t number = 0; number < hostCount; ++number)
            runUntil([&] { return isReady(number); });
    }

    void startHost(std::size_t number)
    {
        settings::serving_settings settings;
        settings.host = host_id(fmt::format("host-{}", number));
        settings.dataCentre = data_centre_id("riga");
        settings.callerListen = hostAddress(number, 0);
        settings.readinessListen = hostAddress(number, 1);
        settings.metricsListen = hostAddress(number, 2);
        settings.store = endpoint("127.0.0.1", storePort);
        settings.retryRatio = 0.5;
        settings.retryAllowance = 100;
        settings.logLevel = log_level::Error;
        hosts[number].emplace(loop, time, log, settings, "/nonexistent/settings.ini");
    }

    /** Sends a request and returns the status of its response; zero if the connection ended. */
    int send(std::size_t host, const std::string &path)
    {
        return sendTo(hostAddress(host, 0), path);
    }

    /** Sets the path that ends the targets, and registers them again when they are back. */
    void crashOn(const std::string &path, duration downTime)
    {
        for (const auto &target : targets)
            target->crashOn(path, downTime);
    }

    /** Sends a request that isn't waited for. */
    void sendWithoutWaiting(std::size_t host, const std::string &path)
    {
        m_pools.push_back(std::make_unique<http::client_pool>(loop, time, hostAddress(host, 0),
                                                              http::client_pool_settings{}));
        m_pools.back()->send(
            {.bytes = callerRequest(path), .matchesRequest = {}, .onEnd = [](auto &&) {}});
    }

    /** Registers targets that have started again. Call it periodically. */
    void registerStartedTargets()
    {
        for (std::size_t index = 0; index < targets.size(); ++index) {
            const std::size_t crashes = targets[index]->crashTimes().size();
            if (!targets[index]->isListening() || registeredAfterCrashes[index] == crashes)
                continue;
            registeredAfterCrashes[index] = crashes;
            registerTarget(index);
        }
    }

    /** Returns the times of all targets in order. */
    template <typename Times>
    [[nodiscard]] std::vector<time_point> collect(Times &&timesOf) const
    {
        std::vector<time_point> all;
        for (const auto &target : targets) {
            const std::vector<time_point> &times = timesOf(*target);
            all.insert(all.end(), times.begin(), times.end());
        }
        std::sort(all.begin(), all.end());
        return all;
    }
    [[nodiscard]] std::vector<time_point> crashTimes() const
    {
        return collect([](const auto &target) -> const auto & { return target.crashTimes(); });
    }

    /** Returns how often the request reached targets later than hosts must know of it. */
    [[nodiscard]] std::size_t lateArrivals(time_point since) const
    {
        const auto arrivals =
            collect([](const auto &target) -> const auto & { return target.crashArrivals(); });
        return static_cast<std::size_t>(std::count_if(
            arrivals.begin(), arrivals.end(), [&](time_point arrival) { return arrival > since; }));
    }

    logger log{time, "test", log_level::Error};
    standins::platform_store store{loop, time, endpoint("127.0.0.1", storePort)};
    std::vector<std::unique_ptr<standins::platform_target>> targets;
    std::array<std::optional<platform_adapter::platform_host>, hostCount> hosts;
    std::array<std::size_t, shardCount * replicaCount> registeredAfterCrashes{};

private:
    static endpoint hostAddress(std::size_t number, std::size_t use)
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(firstHostPort + 3 * number + use)};
    }
    static endpoint targetAddress(std::size_t index)
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(firstTargetPort + index)};
    }

    bool isReady(std::size_t number) { return sendTo(hostAddress(number, 1), "/") == 200; }

    int sendTo(const endpoint &address, const std::string &path)
    {
        http::client_pool pool(loop, time, address, {.maximumConnections = 1});
        std::optional<http::exchange_result> result;
        pool.send({.bytes = callerRequest(path),
                   .matchesRequest = {},
                   .onEnd = [&](http::exchange_result &&ended) { result = std::move(ended); }});
        runUntil([&] { return result.has_value(); });
        return result->answer.status;
    }

    std::string callerRequest(const std::string &path)
    {
        return fmt::format("GET {} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id-{}\r\n"
                           "X-Time-Budget-Ms: 1000\r\n\r\n",
                           path, ++m_lastId);
    }

    void registerTarget(std::size_t index)
    {
        store.put(fmt::format("servers/i-{}", index),
                  targets[index]->registration("riga", "ready", 1));
    }

    void writeConfiguration()
    {
        using nlohmann::json;
        json services = json::array();
        json shards = json::array();
        for (std::size_t shard = 0; shard < shardCount; ++shard) {
            shards.push_back(fmt::format("s{}", shard));
            services.push_back(
                {{"Name", shards.back()}, {"HealthPath", "/health"}, {"MaxConnections", 50}});
        }
        const auto makeRoute = [](const std::string &name, std::size_t maximumTargets) {
            return json{{"Name", name},
                        {"Host", "h"},
                        {"PathPrefix", fmt::format("/{}/", name)},
                        {"RouteType", "idempotent"},
                        {"TimeoutMs", 1000},
                        {"TargetLatencyMs", 200},
                        {"Priority", 1},
                        {"MaxAttempts", maximumTargets}};
        };
        json one = makeRoute("one", 1);
        one["Service"] = "s0";
        json repeated = makeRoute("repeated", 3);
        repeated["Service"] = "s0";
        json lookup = makeRoute("all", 2);
        lookup["FanoutServices"] = shards;
        lookup["ResultCount"] = 5;
        lookup["MinShardShare"] = 0.5;
        store.put(
            "op/config",
            json{{"ConfigVersion", 1}, {"Routes", {one, repeated, lookup}}, {"Services", services}}
                .dump());
    }

    std::uint64_t m_lastId = 0;
    std::vector<std::unique_ptr<http::client_pool>> m_pools;
};

/** A way in which a request that ends its targets comes again. */
struct repetition
{
    std::string name;
    std::string path;
    /** Time between two repetitions, which go to the hosts in turn. */
    duration interval;
    std::size_t count;
    /** Called after each repetition, with its number. */
    std::function<void(fleet_fixture &, std::size_t)> disturb = [](fleet_fixture &, std::size_t) {};
    /** Number of the repetition after which the store works all the while. */
    std::size_t lastWithoutStore = 0;
};

/** Sends a request again and again, beside lookups of others, and checks what reaches targets. */
void checkRepetitions(const repetition &repeated)
{
    CAPTURE(repeated.name);
    fleet_fixture f;
    f.crashOn(repeated.path, 500ms);
    std::size_t servedOthers = 0;
    time_point storeBack = f.time.now();
    for (std::size_t round = 0; round < repeated.count; ++round) {
        f.send(round % hostCount, repeated.path);
        const bool isOtherServed = f.send((round + 1) % hostCount, "/all/other") == 200;
        servedOthers += isOtherServed ? 1 : 0;
        repeated.disturb(f, round);
        f.registerStartedTargets();
        f.runFor(repeated.interval);
        f.registerStartedTargets();
        if (round == repeated.lastWithoutStore)
            storeBack = f.time.now();
    }
    const std::vector<time_point> crashes = f.crashTimes();
    REQUIRE(crashes.size() >= toleratedCrashes);
    const time_point knownAt = std::max(crashes[toleratedCrashes - 1], storeBack) + contactTime;
    REQUIRE(f.time.now() > knownAt + 2 * repeated.interval);
    CHECK(f.lateArrivals(knownAt) <= toleratedRetries);
    MESSAGE(repeated.name, ": ", crashes.size(), " ended, ", f.lateArrivals(knownAt),
            " sent too late, others served ", servedOthers, " of ", repeated.count);
}

} // namespace

TEST_CASE("a request that ends its targets reaches almost none once three have ended under it")
{
    const repetition rows[] = {
        {"one target for a request", "/one/x", 300ms, 27},
        {"several targets for a request", "/repeated/x", 300ms, 27},
        {"a lookup over all shards", "/all/x", 300ms, 27},
        {"rare repetitions", "/one/x", 1200ms, 14},
    };
    for (const repetition &testCase : rows)
        checkRepetitions(testCase);
}

TEST_CASE("a request is served again after all targets of its service ended while they ran it")
{
    // The permission to test it is given while no target can be reached, and returned at once: the
    // other hosts, and the one that returns it, must not take it as used.
    struct row
    {
        std::string name;
        std::size_t askedHosts;
    };
    for (const row &testCase : {row{"at one host", 1}, row{"at all hosts", hostCount}}) {
        CAPTURE(testCase.name);
        fleet_fixture f;
        for (std::size_t index = 0; index < replicaCount; ++index)
            f.targets[index]->setWorkTime(100ms);
        for (std::size_t number = 0; number < 6 * replicaCount; ++number)
            f.sendWithoutWaiting(number % testCase.askedHosts, "/one/x");
        f.runUntil([&] {
            return std::all_of(f.targets.begin(), f.targets.begin() + replicaCount,
                               [](const auto &target) { return target->runCount() > 0; });
        });
        for (std::size_t index = 0; index < replicaCount; ++index)
            f.targets[index]->endFor(1500ms);
        const auto areTargetsBack = [&] { return f.targets.front()->isListening(); };
        while (!areTargetsBack()) {
            for (std::size_t host = 0; host < testCase.askedHosts; ++host)
                f.send(host, "/one/x");
            f.runFor(40ms);
        }
        f.registerStartedTargets();
        std::size_t nextHost = 0;
        f.runUntil([&] { return f.send(nextHost++ % testCase.askedHosts, "/one/x") == 200; },
                   recoveryTime);
        for (std::size_t host = 0; host < testCase.askedHosts; ++host)
            f.runUntil([&] { return f.send(host, "/one/x") == 200; }, contactTime);
    }
}

TEST_CASE("a request is tested again if the host that had the permission is gone")
{
    fleet_fixture f;
    f.crashOn("/one/x", 300ms);
    while (f.crashTimes().size() < toleratedCrashes) {
        f.send(0, "/one/x");
        f.runFor(400ms);
        f.registerStartedTargets();
    }
    f.crashOn("", 300ms);
    f.runFor(1s); // All hosts learn of it.
    const std::vector<std::string> keys = f.store.keys("suspects/");
    REQUIRE_FALSE(keys.empty());
    const std::string entry = keys.front().substr(0, keys.front().rfind('/')) + "/test";
    f.store.put(entry, "0:host-9#1#1");
    const time_point givenAt = f.time.now();
    f.runFor(1s);
    f.runUntil([&] { return f.send(1, "/one/x") == 200; }, recoveryTime);
    f.runUntil([&] { return f.send(2, "/one/x") == 200; }, contactTime);
    // The host may still be testing.
    CHECK(f.time.now() - givenAt > serving::suspect_limits().testDuration);
}

TEST_CASE("a host writes its key again although it is removed as soon as it has been written")
{
    fleet_fixture f;
    const std::string key = "hosts/host-1";
    REQUIRE(f.store.keyCount(key) == 1);
    for (int round = 0; round < 3; ++round) {
        f.store.erase(key);
        f.runUntil([&] { return f.store.keyCount(key) == 1; }, contactTime);
    }
    f.runFor(1s);
    CHECK(f.store.keyCount(key) == 1);
}

TEST_CASE("a target that fails a request without an answer does not clear it")
{
    checkRepetitions({"targets that fail three of four runs", "/one/x", 200ms, 50,
                      [](fleet_fixture &f, std::size_t) {
                          for (const auto &target : f.targets)
                              target->crashOn("/one/x", 500ms, 3);
                      }});
}

TEST_CASE("hosts that restart and a store that fails forget no request that ends its targets")
{
    const auto restartHosts = [](fleet_fixture &f, std::size_t round) {
        if (round % 4 != 3)
            return;
        const std::size_t host = round / 4 % hostCount;
        f.hosts[host].reset();
        f.startHost(host);
        f.runFor(200ms);
    };
    const auto restoreStore = [](fleet_fixture &f, std::size_t round) {
        if (round == 0)
            f.store.takeCopy();
        if (round == 10 || round == 18)
            f.store.restoreCopy();
    };
    const auto interruptStore = [](fleet_fixture &f, std::size_t round) {
        if (round == 1)
            f.store.setMode(standins::store_mode::Unavailable);
        if (round == 6)
            f.store.setMode(standins::store_mode::Serving);
    };
    const auto loseWrites = [](fleet_fixture &f, std::size_t round) {
        if (round == 0)
            f.store.setMode(standins::store_mode::LostWriteResponses);
        if (round == 8)
            f.store.setMode(standins::store_mode::Serving);
    };
    const repetition rows[] = {
        {"hosts that restart", "/one/x", 300ms, 27, restartHosts},
        {"a store that is restored", "/one/x", 300ms, 27, restoreStore},
        {"a store that is away", "/one/x", 300ms, 40, interruptStore, 6},
        {"a store that answers no write", "/one/x", 300ms, 40, loseWrites, 8},
    };
    for (const repetition &testCase : rows)
        checkRepetitions(testCase);
}
