#include "load_report.h"

#include <mustardcourse/core/command_line.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/time/time.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

ABSL_FLAG(std::vector<std::string>, hosts, {"127.0.0.1:8101"}, "hosts to measure");
ABSL_FLAG(absl::Duration, length, absl::Seconds(10), "duration of the measurement of idle hosts");
ABSL_FLAG(std::string, team, "", "team whose settings are changed");
ABSL_FLAG(std::string, settings, "", "file with the team's settings");
ABSL_FLAG(int, changes, 5, "number of changes whose propagation is timed");

namespace {

using namespace mustardcourse;
using namespace mustardcourse::standins;
using nlohmann::json;

constexpr std::chrono::milliseconds pollInterval{5};
constexpr std::chrono::seconds propagationTimeout{60};

std::uint64_t revisionAt(wire::event_loop &loop, const endpoint &host, const std::string &path)
{
    const json body = json::parse(fetchPage(loop, host, path), nullptr, false);
    return body.is_object() ? body.value("revision", std::uint64_t{0}) : 0;
}

std::uint64_t applyChange(wire::event_loop &loop, const endpoint &host, const std::string &path,
                          const std::string &text, int number)
{
    wire::http_connection connection(loop, host);
    wire::outgoing_request request;
    request.path = path;
    request.timeout = std::chrono::seconds(10);
    request.body = json{
        {"expected_revision", revisionAt(loop, host, path)},
        {"text", text},
        {"change", fmt::format("probe-{}-{}", number, std::time(nullptr))},
        {"author",
         "probe"}}.dump();
    const auto result = loop.run(connection.exchange(std::move(request)));
    const json body = json::parse(result.response.body, nullptr, false);
    return result.response.status == 200 ? body.value("revision", std::uint64_t{0}) : 0;
}

/** Returns the time until a change made at one host is in force at every host, if within the limit.
 */
std::optional<duration> measurePropagation(wire::event_loop &loop,
                                           const std::vector<endpoint> &hosts,
                                           const std::string &path, const std::string &text,
                                           int number)
{
    const time_point startTime = std::chrono::steady_clock::now();
    const auto &changedHost = hosts[static_cast<std::size_t>(number) % hosts.size()];
    const std::uint64_t appliedRevision = applyChange(loop, changedHost, path, text, number);
    if (appliedRevision == 0)
        return std::nullopt;
    for (const endpoint &host : hosts) {
        while (revisionAt(loop, host, path) < appliedRevision) {
            if (std::chrono::steady_clock::now() - startTime > propagationTimeout)
                return std::nullopt;
            loop.run(loop.sleep(pollInterval));
        }
    }
    return std::chrono::steady_clock::now() - startTime;
}

/** Returns the mean fraction of members that hosts report as failed, over several samples. */
double failedFraction(wire::event_loop &loop, const std::vector<endpoint> &hosts)
{
    constexpr int samples = 10;
    constexpr std::chrono::milliseconds sampleInterval{500};

    std::size_t members = 0;
    std::size_t failed = 0;
    for (int sample = 0; sample < samples; ++sample) {
        for (const endpoint &host : hosts) {
            const json body = json::parse(fetchPage(loop, host, "/v1/members"), nullptr, false);
            for (const json &member : body.value("members", json::array())) {
                ++members;
                failed += member.value("state", "") == "failed" ? 1 : 0;
            }
        }
        loop.run(loop.sleep(sampleInterval));
    }
    return static_cast<double>(failed) / static_cast<double>(std::max<std::size_t>(members, 1));
}

std::string readFile(const std::string &name)
{
    std::ostringstream text;
    text << std::ifstream(name).rdbuf();
    return text.str();
}

int probe()
{
    std::vector<endpoint> hosts;
    for (const std::string &text : absl::GetFlag(FLAGS_hosts))
        hosts.push_back(endpoint::parse(text));
    wire::event_loop loop;
    const duration length = absl::ToChronoMicroseconds(absl::GetFlag(FLAGS_length));
    const host_counters countersBefore = readCounters(loop, hosts);
    loop.run(loop.sleep(length));
    const host_counters counterIncrease = difference(readCounters(loop, hosts), countersBefore);

    const double seconds = std::chrono::duration<double>(length).count();
    const auto count = static_cast<double>(hosts.size());
    constexpr double bytesPerMegabyte = 1e6;
    fmt::print("hosts={} cpu_percent_a_host={:.2f} gossip_bytes_a_second_a_host={:.0f} "
               "store_calls_a_second={:.2f} resident_mb_a_host={:.1f}",
               hosts.size(), 100 * counterIncrease.processorSeconds / seconds / count,
               counterIncrease.gossipBytes / seconds / count, counterIncrease.storeCalls / seconds,
               counterIncrease.residentBytes / bytesPerMegabyte / count);

    fmt::print(" falsely_failed_percent={:.3f}", 100 * failedFraction(loop, hosts));

    const std::string path = "/v1/teams/" + absl::GetFlag(FLAGS_team);
    const std::string text = readFile(absl::GetFlag(FLAGS_settings));
    std::vector<double> propagationTimes;
    const host_counters beforeChanges = readCounters(loop, hosts);
    const time_point startTime = std::chrono::steady_clock::now();
    for (int number = 0; number < absl::GetFlag(FLAGS_changes); ++number) {
        const auto propagationTime = measurePropagation(loop, hosts, path, text, number);
        if (!propagationTime) {
            fmt::print("\nchange {} was rejected or not in force at all hosts in time\n", number);
            return 1;
        }
        propagationTimes.push_back(
            std::chrono::duration<double, std::milli>(*propagationTime).count());
    }
    const double expectedIdleCalls = counterIncrease.storeCalls / seconds
        * std::chrono::duration<double>(std::chrono::steady_clock::now() - startTime).count();
    loop.run(loop.sleep(std::chrono::seconds(1)));
    const double callsForChanges =
        difference(readCounters(loop, hosts), beforeChanges).storeCalls - expectedIdleCalls;
    std::sort(propagationTimes.begin(), propagationTimes.end());
    fmt::print(" change_ms_median={:.0f} change_ms_max={:.0f} store_calls_a_change={:.1f}\n",
               propagationTimes[propagationTimes.size() / 2], propagationTimes.back(),
               callsForChanges / static_cast<double>(propagationTimes.size()));
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Measures the control overhead of idle hosts and the time until a "
                                 "change of settings is in force at all of them.");
    mustardcourse::acceptDashesInFlags(argc, argv);
    absl::ParseCommandLine(argc, argv);
    try {
        return probe();
    } catch (const std::exception &failure) {
        fmt::print(stderr, "control_probe: {}\n", failure.what());
        return 2;
    }
}
