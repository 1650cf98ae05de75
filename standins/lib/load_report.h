#pragma once

#include "load_generator.h"

#include <map>
#include <string>

namespace mustardcourse::standins {

/** Statistics of one kind of request in one run. */
struct load_summary
{
    std::string name;
    std::size_t arrivals = 0;
    std::size_t succeeded = 0;
    std::map<std::string, std::size_t> failures;
    double p50Milliseconds = 0;
    double p99Milliseconds = 0;
    double p999Milliseconds = 0;
    double maximumMilliseconds = 0;
    /** Mean coverage of the answered lookups, and the fraction with full coverage. */
    double meanCoverage = 0;
    double completeFraction = 0;
    double targetCallsPerLookup = 0;
};

/** Sums of the counters on the metrics pages of several hosts. */
struct host_counters
{
    double processorSeconds = 0;
    double targetCalls = 0;
    double targetDials = 0;
    double storeCalls = 0;
    double gossipBytes = 0;
    double residentBytes = 0;
};

/** Summarises all lookups, the lookups of each customer class, and all non-idempotent requests. */
std::vector<load_summary> summarise(const std::vector<load_sample> &samples);

/** Returns a counter without labels from a metrics page, or zero if it is missing. */
double counterValue(const std::string &metricsPage, const std::string &name);

/** Fetches the metrics pages of hosts and adds their counters. */
host_counters readCounters(wire::event_loop &loop, const std::vector<endpoint> &hosts);

/** Returns the increase of the counters; the resident memory is that of the later reading. */
host_counters difference(const host_counters &after, const host_counters &before);

/** Returns the response body of a GET request, or an empty string if there is no response. */
std::string fetchPage(wire::event_loop &loop, const endpoint &host, const std::string &path);

/** Formats the summaries of a run as a text table. */
std::string toTable(const std::vector<load_summary> &summaries);

/** Formats the summaries of a run as CSV lines, without the header row. */
std::string toCsv(const std::string &label, const std::vector<load_summary> &summaries,
                  const host_counters &counterIncrease);

/** Returns the header row of the CSV file. */
std::string csvHeader();

} // namespace mustardcourse::standins
