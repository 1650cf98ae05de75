#include "platform_store.h"
#include "platform_target.h"

#include <mustardcourse/core/command_line.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <csignal>

ABSL_FLAG(std::string, store, "127.0.0.1:8001", "address of the store");
ABSL_FLAG(std::uint32_t, first_target_port, 9000, "port of the first target on 127.0.0.1");
ABSL_FLAG(std::uint32_t, shards, 4, "number of shards of the search service");
ABSL_FLAG(std::uint32_t, work_ms, 5, "processing time of a request, in milliseconds");

namespace {

using namespace mustardcourse;
using nlohmann::json;

constexpr std::array<const char *, 3> dataCentres{"riga-1", "riga-2", "jelgava"};

json makeRoute(const std::string &name, const std::string &routeType)
{
    return {{"Name", name},           {"Host", "search.example"}, {"PathPrefix", "/" + name + "/"},
            {"RouteType", routeType}, {"TimeoutMs", 1000},        {"TargetLatencyMs", 150},
            {"Priority", 1},          {"MaxAttempts", 2}};
}

std::string makeConfiguration(std::uint32_t shards)
{
    json services = json::array();
    json serviceNames = json::array();
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        const std::string name = fmt::format("shard-{}", shard);
        serviceNames.push_back(name);
        services.push_back({{"Name", name}, {"HealthPath", "/health"}, {"MaxConnections", 30}});
    }
    json scatterRoute = makeRoute("all", "idempotent");
    scatterRoute["FanoutServices"] = serviceNames;
    scatterRoute["ResultCount"] = 5;
    scatterRoute["MinShardShare"] = 0.5;
    json singleRoute = makeRoute("once", "non_idempotent");
    singleRoute["Service"] = "shard-0";
    return json{
        {"ConfigVersion", 1}, {"Routes", {scatterRoute, singleRoute}}, {"Services", services}}
        .dump();
}

} // namespace

/** Runs a store and three targets for each shard, one in each data centre, in one process. */
int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "Simulates the platform: a store and targets on the loopback interface.");
    acceptDashesInFlags(argc, argv);
    absl::ParseCommandLine(argc, argv);
    const system_clock clock;
    net::loop loop;
    standins::platform_store store(loop, clock, endpoint::parse(absl::GetFlag(FLAGS_store)));
    std::vector<std::unique_ptr<standins::platform_target>> targets;
    const std::uint32_t shards = absl::GetFlag(FLAGS_shards);
    for (std::uint32_t index = 0; index < shards * dataCentres.size(); ++index) {
        const auto port =
            static_cast<std::uint16_t>(absl::GetFlag(FLAGS_first_target_port) + index);
        const std::string instance = fmt::format("target-{}", index);
        targets.push_back(std::make_unique<standins::platform_target>(
            loop, clock, endpoint("127.0.0.1", port),
            standins::platform_target_settings{
                .instance = instance,
                .service = fmt::format("shard-{}", index / dataCentres.size()),
                .workTime = std::chrono::milliseconds(absl::GetFlag(FLAGS_work_ms))}));
        store.put(
            "servers/" + instance,
            targets.back()->registration(dataCentres[index % dataCentres.size()], "ready", 1));
    }
    store.put("op/config", makeConfiguration(shards));
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    // Signals start and end an evacuation of a data centre, in place of the operators.
    loop.onSignal(SIGUSR1, [&] { store.put("op/evacuate/riga-1", "{}"); });
    loop.onSignal(SIGUSR2, [&] { store.erase("op/evacuate/riga-1"); });
    fmt::print("platform stand-in: serving {} shards\n", shards);
    loop.run();
    return 0;
}
