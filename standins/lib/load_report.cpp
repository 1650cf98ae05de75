#include "load_report.h"

#include <fmt/format.h>
#include <gsl/gsl_statistics_double.h>

#include <algorithm>

namespace mustardcourse::standins {

namespace {

constexpr double microsecondsPerSecond = 1e6;

bool isSuccess(const load_sample &sample)
{
    return sample.outcome == "answered" || sample.outcome == "done";
}

double quantile(const std::vector<double> &sorted, double fraction)
{
    if (sorted.empty())
        return 0;
    return gsl_stats_quantile_from_sorted_data(sorted.data(), 1, sorted.size(), fraction);
}

template <typename Predicate>
load_summary summariseMatching(const std::string &name, const std::vector<load_sample> &samples,
                               Predicate matches)
{
    load_summary summary;
    summary.name = name;
    std::vector<double> latencies;
    std::size_t completeCount = 0;
    double coverageSum = 0;
    double targetCalls = 0;
    for (const load_sample &sample : samples) {
        if (!matches(sample))
            continue;
        ++summary.arrivals;
        if (!isSuccess(sample)) {
            ++summary.failures[sample.outcome];
            continue;
        }
        ++summary.succeeded;
        const std::chrono::duration<double, std::milli> latency = sample.latency;
        latencies.push_back(latency.count());
        if (sample.expected == 0)
            continue;
        coverageSum += static_cast<double>(sample.answered) / static_cast<double>(sample.expected);
        completeCount += sample.answered == sample.expected ? 1 : 0;
        targetCalls += sample.targetCalls;
    }
    std::sort(latencies.begin(), latencies.end());
    summary.p50Milliseconds = quantile(latencies, 0.5);
    summary.p99Milliseconds = quantile(latencies, 0.99);
    summary.p999Milliseconds = quantile(latencies, 0.999);
    summary.maximumMilliseconds = latencies.empty() ? 0 : latencies.back();
    const auto count = static_cast<double>(std::max<std::size_t>(summary.succeeded, 1));
    summary.meanCoverage = coverageSum / count;
    summary.completeFraction = static_cast<double>(completeCount) / count;
    summary.targetCallsPerLookup = targetCalls / count;
    return summary;
}

std::string formatFailures(const load_summary &summary)
{
    std::string text;
    for (const auto &[reason, count] : summary.failures)
        text += fmt::format("{}{}={}", text.empty() ? "" : ";", reason, count);
    return text;
}

} // namespace

std::vector<load_summary> summarise(const std::vector<load_sample> &samples)
{
    std::vector<load_summary> summaries;
    summaries.push_back(
        summariseMatching("lookups", samples, [](const auto &sample) { return sample.isLookup; }));
    for (const auto importance : {limits::customer_class::High, limits::customer_class::Normal,
                                  limits::customer_class::Low}) {
        const auto name = fmt::format("lookups-{}", limits::nameOf(importance));
        summaries.push_back(summariseMatching(name, samples, [&](const auto &sample) {
            return sample.isLookup && sample.importance == importance;
        }));
    }
    summaries.push_back(summariseMatching("requests", samples,
                                          [](const auto &sample) { return !sample.isLookup; }));
    std::erase_if(summaries, [](const auto &summary) { return summary.arrivals == 0; });
    return summaries;
}

double counterValue(const std::string &metricsPage, const std::string &name)
{
    const std::string prefix = "\n" + name + " ";
    const auto position = metricsPage.find(prefix);
    if (position == std::string::npos)
        return 0;
    return std::strtod(metricsPage.c_str() + position + prefix.size(), nullptr);
}

std::string fetchPage(wire::event_loop &loop, const endpoint &host, const std::string &path)
{
    wire::http_connection connection(loop, host);
    wire::outgoing_request request;
    request.path = path;
    return loop.run(connection.exchange(std::move(request))).response.body;
}

host_counters readCounters(wire::event_loop &loop, const std::vector<endpoint> &hosts)
{
    host_counters sum;
    for (const endpoint &host : hosts) {
        const std::string page = fetchPage(loop, host, "/metrics");
        sum.processorSeconds += counterValue(page, "mustardcourse_processor_seconds");
        sum.targetCalls += counterValue(page, "mustardcourse_target_calls_total");
        sum.targetDials += counterValue(page, "mustardcourse_target_connections_opened_total");
        sum.storeCalls += counterValue(page, "mustardcourse_store_calls_total");
        sum.gossipBytes += counterValue(page, "mustardcourse_gossip_bytes_total");
        sum.residentBytes += counterValue(page, "mustardcourse_resident_bytes");
    }
    return sum;
}

host_counters difference(const host_counters &after, const host_counters &before)
{
    host_counters counterIncrease = after;
    counterIncrease.processorSeconds -= before.processorSeconds;
    counterIncrease.targetCalls -= before.targetCalls;
    counterIncrease.targetDials -= before.targetDials;
    counterIncrease.storeCalls -= before.storeCalls;
    counterIncrease.gossipBytes -= before.gossipBytes;
    return counterIncrease;
}

std::string toTable(const std::vector<load_summary> &summaries)
{
    std::string table =
        fmt::format("{:<16} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>8} {:>9}  {}\n", "kind",
                    "arrivals", "answered", "p50 ms", "p99 ms", "p99.9 ms", "max ms", "coverage",
                    "whole", "calls/lk", "failures");
    for (const load_summary &row : summaries)
        table += fmt::format("{:<16} {:>9} {:>9} {:>9.2f} {:>9.2f} {:>9.2f} {:>9.2f} {:>9.5f} "
                             "{:>8.5f} {:>9.3f}  {}\n",
                             row.name, row.arrivals, row.succeeded, row.p50Milliseconds,
                             row.p99Milliseconds, row.p999Milliseconds, row.maximumMilliseconds,
                             row.meanCoverage, row.completeFraction, row.targetCallsPerLookup,
                             formatFailures(row));
    return table;
}

std::string csvHeader()
{
    return "label,kind,arrivals,succeeded,p50_ms,p99_ms,p999_ms,max_ms,coverage,whole,"
           "calls_per_lookup,cpu_us_per_lookup,cpu_us_per_target_call,target_dials,failures\n";
}

std::string toCsv(const std::string &label, const std::vector<load_summary> &summaries,
                  const host_counters &counterIncrease)
{
    std::string lines;
    const double processor = counterIncrease.processorSeconds * microsecondsPerSecond;
    for (const load_summary &row : summaries) {
        const auto arrivals = static_cast<double>(std::max<std::size_t>(row.arrivals, 1));
        lines += fmt::format("{},{},{},{},{:.3f},{:.3f},{:.3f},{:.3f},{:.6f},{:.6f},{:.4f},{:.1f},"
                             "{:.1f},{:.0f},{}\n",
                             label, row.name, row.arrivals, row.succeeded, row.p50Milliseconds,
                             row.p99Milliseconds, row.p999Milliseconds, row.maximumMilliseconds,
                             row.meanCoverage, row.completeFraction, row.targetCallsPerLookup,
                             processor / arrivals,
                             processor / std::max(counterIncrease.targetCalls, 1.0),
                             counterIncrease.targetDials, formatFailures(row));
    }
    return lines;
}

} // namespace mustardcourse::standins
