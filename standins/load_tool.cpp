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
#include <filesystem>
#include <fstream>

ABSL_FLAG(std::vector<std::string>, hosts, {"127.0.0.1:8101"}, "hosts to send requests to");
ABSL_FLAG(std::vector<std::string>, targets, {}, "stand-in targets whose counters are read");
ABSL_FLAG(std::string, service, "", "service to search");
ABSL_FLAG(double, rate, 100, "arrivals per second");
ABSL_FLAG(absl::Duration, length, absl::Seconds(10), "length of the run");
ABSL_FLAG(absl::Duration, deadline, absl::Seconds(1), "deadline of each request");
ABSL_FLAG(double, request_fraction, 0, "fraction of arrivals that are non-idempotent requests");
ABSL_FLAG(std::vector<std::string>, class_weights, (std::vector<std::string>{"0", "1", "0"}),
          "weights of the classes low, normal, high");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the arrivals");
ABSL_FLAG(std::string, label, "run", "name of the run in the CSV file");
ABSL_FLAG(std::string, csv, "", "CSV file to append to");
ABSL_FLAG(bool, fail_on_cut, false, "exit with status 1 if any request received no response");

namespace {

using namespace mustardcourse;
using namespace mustardcourse::standins;

std::vector<endpoint> parseEndpoints(const std::vector<std::string> &texts)
{
    std::vector<endpoint> addresses;
    addresses.reserve(texts.size());
    for (const std::string &text : texts)
        addresses.push_back(endpoint::parse(text));
    return addresses;
}

load_plan planFromFlags()
{
    load_plan plan;
    plan.hosts = parseEndpoints(absl::GetFlag(FLAGS_hosts));
    plan.service = absl::GetFlag(FLAGS_service);
    plan.ratePerSecond = absl::GetFlag(FLAGS_rate);
    plan.length = absl::ToChronoMicroseconds(absl::GetFlag(FLAGS_length));
    plan.deadline = absl::ToChronoMicroseconds(absl::GetFlag(FLAGS_deadline));
    plan.requestFraction = absl::GetFlag(FLAGS_request_fraction);
    plan.seed = absl::GetFlag(FLAGS_seed);
    plan.classWeights.clear();
    for (const std::string &weight : absl::GetFlag(FLAGS_class_weights))
        plan.classWeights.push_back(std::stod(weight));
    return plan;
}

void appendCsv(const std::string &file, const std::string &lines)
{
    const bool isNew = !std::filesystem::exists(file);
    std::ofstream stream(file, std::ios::app);
    if (isNew)
        stream << csvHeader();
    stream << lines;
}

void printTargetCounters(wire::event_loop &loop, const std::vector<endpoint> &targets)
{
    std::size_t peakConnections = 0;
    std::size_t overloads = 0;
    std::size_t shed = 0;
    std::size_t searches = 0;
    for (const endpoint &target : targets) {
        const auto records =
            nlohmann::json::parse(fetchPage(loop, target, "/control"), nullptr, false);
        if (!records.is_object())
            continue;
        peakConnections =
            std::max(peakConnections, records.value("most_connections", std::size_t{0}));
        overloads += records.value("cold_overloads", std::size_t{0});
        shed += records.value("shed", std::size_t{0});
        searches += records.value("searches", std::size_t{0});
    }
    if (!targets.empty())
        fmt::print("targets: {} searches, {} shed, {} cold overloads, at most {} connections to "
                   "one\n",
                   searches, shed, overloads, peakConnections);
}

int offerLoad()
{
    const system_clock clock;
    wire::event_loop loop;
    const load_plan plan = planFromFlags();
    const host_counters countersBefore = readCounters(loop, plan.hosts);
    load_generator generator(loop, clock, plan);
    fmt::print("sending requests\n");
    std::fflush(stdout);
    const std::vector<load_sample> samples = loop.run(generator.run());
    const host_counters counterIncrease =
        difference(readCounters(loop, plan.hosts), countersBefore);
    const std::vector<load_summary> summaries = summarise(samples);

    constexpr double microsecondsPerSecond = 1e6;
    const double processor = counterIncrease.processorSeconds * microsecondsPerSecond;
    const double arrivals = std::max(static_cast<double>(samples.size()), 1.0);
    fmt::print("{}", toTable(summaries));
    fmt::print("hosts: {:.1f} CPU us a request, {:.1f} CPU us a target call, {:.0f} target calls, "
               "{:.0f} target connections opened\n",
               processor / arrivals, processor / std::max(counterIncrease.targetCalls, 1.0),
               counterIncrease.targetCalls, counterIncrease.targetDials);
    printTargetCounters(loop, parseEndpoints(absl::GetFlag(FLAGS_targets)));
    if (!absl::GetFlag(FLAGS_csv).empty())
        appendCsv(absl::GetFlag(FLAGS_csv),
                  toCsv(absl::GetFlag(FLAGS_label), summaries, counterIncrease));

    const bool hasUnanswered =
        std::any_of(samples.begin(), samples.end(),
                    [](const load_sample &sample) { return sample.outcome.starts_with("cut:"); });
    return absl::GetFlag(FLAGS_fail_on_cut) && hasUnanswered ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "Sends an open-loop load to hosts and reports outcomes and latencies.");
    mustardcourse::acceptDashesInFlags(argc, argv);
    absl::ParseCommandLine(argc, argv);
    try {
        return offerLoad();
    } catch (const std::exception &failure) {
        fmt::print(stderr, "load_tool: {}\n", failure.what());
        return 2;
    }
}
