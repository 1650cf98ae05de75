#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace mustardcourse::daemon {

/**
    The metrics of one process.

    They are rendered on the event loop's thread. prometheus::Exposer is not used, since it serves
    them from threads of its own.
*/
class metrics
{
public:
    metrics();

    /** Returns all metrics in Prometheus' text format. */
    [[nodiscard]] std::string render() const;

    /** Counts a finished lookup by its outcome. */
    void countLookup(const std::string &outcome);

    /** Counts a finished non-idempotent request by its outcome. */
    void countExecute(const std::string &outcome);

    /** Adds the size of a digest, in words of the wire encoding. */
    void countGossip(std::size_t words);

    /** Counts a failed shard call by its failure. */
    void countShardFailure(const std::string &failure);

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_lookups;
    prometheus::Family<prometheus::Counter> &m_executes;
    prometheus::Family<prometheus::Counter> &m_shardFailures;

public:
    prometheus::Histogram &lookupSeconds;
    prometheus::Counter &targetCalls;
    prometheus::Counter &targetConnectionsOpened;
    prometheus::Counter &retries;
    prometheus::Counter &storeCalls;
    prometheus::Counter &gossipBytes;
    prometheus::Gauge &requestsRunning;
    prometheus::Gauge &membersServing;
    prometheus::Gauge &settingsAgeSeconds;
    prometheus::Gauge &processorSeconds;
    prometheus::Gauge &residentBytes;
};

} // namespace mustardcourse::daemon
