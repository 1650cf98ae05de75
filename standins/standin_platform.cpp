#include "platform_store.h"
#include "platform_target.h"

#include <mustardcourse/core/command_line.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <csignal>
#include <map>
#include <optional>

ABSL_FLAG(std::string, store, "127.0.0.1:8001", "address of the store");
ABSL_FLAG(std::uint32_t, first_target_port, 9000, "port of the first target on 127.0.0.1");
ABSL_FLAG(std::string, control, "",
          "address at which tests change the store; without one they cannot");
ABSL_FLAG(std::uint32_t, shards, 4, "number of shards of the search service");
ABSL_FLAG(std::uint32_t, work_ms, 5, "processing time of a request, in milliseconds");

namespace {

using namespace mustardcourse;
using nlohmann::json;

constexpr std::array<const char *, 3> dataCentres{"riga-1", "riga-2", "jelgava"};

/** Maximum number of targets of a shard that may run one request. */
constexpr std::size_t maximumAttempts = 2;

json makeRoute(const std::string &name, const std::string &routeType)
{
    return {{"Name", name},
            {"Host", "search.example"},
            {"PathPrefix", "/" + name + "/"},
            {"RouteType", routeType},
            {"TimeoutMs", 1000},
            {"TargetLatencyMs", 150},
            {"Priority", 1},
            {"MaxAttempts", maximumAttempts}};
}

/** Returns a configuration with a route whose name contains the version, "added-5" for example, and
    with a number of further routes. */
std::string makeConfiguration(std::uint32_t shards, std::uint64_t version,
                              std::uint64_t furtherRoutes)
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
    json addedRoute = makeRoute(fmt::format("added-{}", version), "idempotent");
    addedRoute["Service"] = "shard-0";
    json routes = {scatterRoute, singleRoute, addedRoute};
    for (std::uint64_t number = 0; number < furtherRoutes; ++number) {
        routes.push_back(makeRoute(fmt::format("further-{}", number), "idempotent"));
        routes.back()["Service"] = "shard-0";
    }
    return json{{"ConfigVersion", version}, {"Routes", routes}, {"Services", services}}.dump();
}

/** A simulated platform: a store, and three targets for each shard, one in each data centre. */
class platform
{
public:
    platform(net::loop &loop, const mustardcourse::clock &clock)
        : m_store(loop, clock, endpoint::parse(absl::GetFlag(FLAGS_store)))
        , m_shards(absl::GetFlag(FLAGS_shards))
        , m_registrationTimer(loop, [this] { registerStartedTargets(); })
    {
        for (std::uint32_t index = 0; index < m_shards * dataCentres.size(); ++index)
            startTarget(loop, clock, index);
        registerTargets();
        writeConfiguration(1);
        m_registeredCrashes.resize(m_targets.size());
        registerStartedTargets();
    }

    [[nodiscard]] standins::platform_store &store() noexcept { return m_store; }

    /** Carries out a command of a test. @returns its result, or nothing if it is unknown */
    std::optional<std::string> execute(std::string_view command)
    {
        const std::vector<std::string> words =
            absl::StrSplit(std::string(command), '/', absl::SkipEmpty());
        if (command == "/most-runs-of-one-booking")
            return std::to_string(mostRunsOfOneBooking());
        if (command == "/booking-runs")
            return listBookingRuns();
        if (command == "/lookups-run-too-often")
            return listLookupsRunTooOften();
        if (command == "/crashes")
            return listCrashes();
        if (words.size() >= 3 && words[0] == "crash-on") {
            crashOn(words);
            return "";
        }
        const bool isForTarget = words.size() >= 3 && words[0] == "target";
        if (isForTarget)
            return executeAtTarget(words);
        return executeAtStore(command) ? std::optional(std::string()) : std::nullopt;
    }

private:
    /** Carries out "target/INDEX/arrivals", "target/INDEX/leaving", "target/INDEX/limit[/RATE]" or
        "target/INDEX/pause[/RETRY-AFTER]"; without a value the limit or the pause ends. */
    std::optional<std::string> executeAtTarget(const std::vector<std::string> &words)
    {
        const auto index = parseNumber(words[1]);
        if (index >= m_targets.size())
            return std::nullopt;
        standins::platform_target &target = *m_targets[index];
        if (words[2] == "leaving")
            target.setLeaving(true);
        else if (words[2] == "pause")
            target.setRequestedPause(words.size() > 3 ? words[3] : "");
        else if (words[2] == "limit")
            target.setNamedLimit(words.size() > 3 ? words[3] : "");
        else if (words[2] != "arrivals")
            return std::nullopt;
        return std::to_string(target.arrivalCount());
    }

    /** Returns how often each request whose id begins with "booking-" has run at all targets. */
    [[nodiscard]] std::map<std::string, std::size_t> bookingRuns() const
    {
        std::map<std::string, std::size_t> runs;
        for (const auto &target : m_targets) {
            for (const auto &[id, count] : target->runCountsById()) {
                if (id.starts_with("booking-"))
                    runs[id] += count;
            }
        }
        return runs;
    }

    [[nodiscard]] std::size_t mostRunsOfOneBooking() const
    {
        std::size_t most = 0;
        for (const auto &[id, count] : bookingRuns())
            most = std::max(most, count);
        return most;
    }

    /** Returns a line "ID RUNS" for each booking that has run. */
    /** Returns a line "ID RUNS" for each lookup that more targets of one shard have run than its
        route allows. */
    [[nodiscard]] std::string listLookupsRunTooOften() const
    {
        std::string lines;
        for (std::size_t first = 0; first < m_targets.size(); first += dataCentres.size()) {
            std::map<std::string, std::size_t> runs;
            for (std::size_t index = first; index < first + dataCentres.size(); ++index) {
                for (const auto &[id, count] : m_targets[index]->runCountsById())
                    runs[id] += id.starts_with("lookup") ? count : 0;
            }
            for (const auto &[id, count] : runs)
                lines += count > maximumAttempts ? fmt::format("{} {}\n", id, count) : "";
        }
        return lines;
    }

    [[nodiscard]] std::string listBookingRuns() const
    {
        std::string lines;
        for (const auto &[id, count] : bookingRuns())
            lines.append(fmt::format("{} {}\n", id, count));
        return lines;
    }

    /** Carries out "crash-on/DOWN-MILLISECONDS/PATH": each run of the path ends its target. */
    void crashOn(const std::vector<std::string> &words)
    {
        const std::string path = "/" + absl::StrJoin(words.begin() + 2, words.end(), "/");
        for (const auto &target : m_targets)
            target->crashOn(path, std::chrono::milliseconds(parseNumber(words[1])));
    }

    /** Returns how often targets have ended, and how many requests for that path have arrived. */
    [[nodiscard]] std::string listCrashes() const
    {
        std::size_t crashes = 0;
        std::size_t arrivals = 0;
        for (const auto &target : m_targets) {
            crashes += target->crashTimes().size();
            arrivals += target->crashArrivals().size();
        }
        return fmt::format("{} {}", crashes, arrivals);
    }

    /** Registers targets that have started again. */
    void registerStartedTargets()
    {
        constexpr std::chrono::milliseconds interval{100};
        for (std::size_t index = 0; index < m_targets.size(); ++index) {
            const std::size_t crashes = m_targets[index]->crashTimes().size();
            if (!m_targets[index]->isListening() || m_registeredCrashes[index] == crashes)
                continue;
            m_registeredCrashes[index] = crashes;
            registerTarget(index);
        }
        m_registrationTimer.start(interval);
    }

    bool executeAtStore(std::string_view command)
    {
        using standins::store_mode;
        constexpr std::string_view configurationCommand = "/configuration/";
        if (command == "/copy")
            m_store.takeCopy();
        else if (command == "/restore")
            m_store.restoreCopy();
        else if (command == "/restore-without-closing-watches")
            m_store.restoreCopy(standins::pending_watches::Hang);
        else if (command == "/unavailable")
            m_store.setMode(store_mode::Unavailable);
        else if (command == "/serving")
            m_store.setMode(store_mode::Serving);
        else if (command == "/other-writes")
            writeOtherKeys();
        else if (command == "/write-again")
            writeAgain();
        else if (command.starts_with(configurationCommand))
            executeConfiguration(command.substr(configurationCommand.size()));
        else
            return false;
        return true;
    }

    /** Carries out "VERSION" or "VERSION/FURTHER-ROUTES". */
    void executeConfiguration(std::string_view arguments)
    {
        const auto separator = arguments.find('/');
        if (separator != std::string_view::npos)
            m_furtherRoutes = parseNumber(arguments.substr(separator + 1));
        writeConfiguration(parseNumber(arguments.substr(0, separator)));
    }

    static std::uint64_t parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    void startTarget(net::loop &loop, const mustardcourse::clock &clock, std::uint32_t index)
    {
        const auto port =
            static_cast<std::uint16_t>(absl::GetFlag(FLAGS_first_target_port) + index);
        m_targets.push_back(std::make_unique<standins::platform_target>(
            loop, clock, endpoint("127.0.0.1", port),
            standins::platform_target_settings{
                .instance = fmt::format("target-{}", index),
                .service = fmt::format("shard-{}", index / dataCentres.size()),
                .workTime = std::chrono::milliseconds(absl::GetFlag(FLAGS_work_ms))}));
    }

    void registerTargets()
    {
        ++m_registrationSequence;
        for (std::size_t index = 0; index < m_targets.size(); ++index)
            registerTarget(index);
    }

    void registerTarget(std::size_t index)
    {
        m_store.put(fmt::format("servers/target-{}", index),
                    m_targets[index]->registration(dataCentres[index % dataCentres.size()], "ready",
                                                   m_registrationSequence));
    }

    void writeConfiguration(std::uint64_t version)
    {
        m_configurationVersion = version;
        m_store.put("op/config", makeConfiguration(m_shards, version, m_furtherRoutes));
    }

    /** Writes again what operators and targets wrote, as they do after a restore. */
    void writeAgain()
    {
        registerTargets();
        writeConfiguration(m_configurationVersion);
    }

    /** Makes many writes that hosts do not read, so that the store's revision rises. */
    void writeOtherKeys()
    {
        constexpr int count = 200;
        for (int number = 0; number < count; ++number)
            m_store.put("elsewhere/key", std::to_string(number));
    }

    standins::platform_store m_store;
    std::uint32_t m_shards;
    std::vector<std::unique_ptr<standins::platform_target>> m_targets;
    /** By target: how often it had ended when it was last registered. */
    std::vector<std::size_t> m_registeredCrashes;
    net::timer m_registrationTimer;
    std::uint64_t m_registrationSequence = 0;
    std::uint64_t m_configurationVersion = 0;
    std::uint64_t m_furtherRoutes = 0;
};

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
    platform simulated(loop, clock);
    std::optional<http::caller_server> control;
    if (!absl::GetFlag(FLAGS_control).empty()) {
        control.emplace(loop, clock, endpoint::parse(absl::GetFlag(FLAGS_control)),
                        [&](std::unique_ptr<http::caller_exchange> exchange) {
                            http::reply answer;
                            const auto result =
                                simulated.execute(exchange->receivedRequest().target);
                            answer.status = result ? 200 : 404;
                            answer.body = result.value_or("");
                            exchange->respond(answer);
                        });
    }
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    // Signals start and end an evacuation of a data centre, in place of the operators.
    loop.onSignal(SIGUSR1, [&] { simulated.store().put("op/evacuate/riga-1", "{}"); });
    loop.onSignal(SIGUSR2, [&] { simulated.store().erase("op/evacuate/riga-1"); });
    fmt::print("platform stand-in: serving {} shards\n", absl::GetFlag(FLAGS_shards));
    loop.run();
    return 0;
}
