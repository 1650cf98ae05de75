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
ABSL_FLAG(std::uint32_t, shards, 4, "shards of the search service");
ABSL_FLAG(std::uint32_t, work_ms, 5, "time that a target takes for a request");

namespace {

using namespace mustardcourse;
using nlohmann::json;

constexpr std::array<const char *, 3> dataCentres{"riga-1", "riga-2", "jelgava"};

json routeDocument(const std::string &name, const std::string &kind)
{
    return {{"Name", name},      {"Host", "search.example"}, {"PathPrefix", "/" + name + "/"},
            {"RouteType", kind}, {"TimeoutMs", 1000},        {"TargetLatencyMs", 150},
            {"Priority", 1},     {"MaxAttempts", 2}};
}

std::string configuration(std::uint32_t shards)
{
    json services = json::array();
    json names = json::array();
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        const std::string name = fmt::format("shard-{}", shard);
        names.push_back(name);
        services.push_back({{"Name", name}, {"HealthPath", "/health"}, {"MaxConnections", 30}});
    }
    json all = routeDocument("all", "idempotent");
    all["FanoutServices"] = names;
    all["ResultCount"] = 5;
    all["MinShardShare"] = 0.5;
    json once = routeDocument("once", "non_idempotent");
    once["Service"] = "shard-0";
    return json{{"ConfigVersion", 1}, {"Routes", {all, once}}, {"Services", services}}.dump();
}

} // namespace

/** A store and three targets for each shard, one in each data centre, in one process. */
int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stand-in of the platform: a store and targets on loopback.");
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
    store.put("op/config", configuration(shards));
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    // What operators do at the platform, by signals: an evacuation and its end.
    loop.onSignal(SIGUSR1, [&] { store.put("op/evacuate/riga-1", "{}"); });
    loop.onSignal(SIGUSR2, [&] { store.erase("op/evacuate/riga-1"); });
    fmt::print("the platform's stand-in serves {} shards\n", shards);
    loop.run();
    return 0;
}
