#pragma once

#include <mustardcourse/core/clock.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace mustardcourse::serving {

/** The Prometheus metrics of a host that serves callers' requests. */
class serving_metrics
{
public:
    serving_metrics();

    /** Returns all metrics in the Prometheus text format. */
    [[nodiscard]] std::string render() const;

    /** Counts the end of a request and its latency. */
    void countRequest(const std::string &outcome, duration latency);

    /** Counts the end of an attempt at a target. */
    void countAttempt(const std::string &end);

    /** Counts the end of a part of a lookup that this host has sent to another one. */
    void countSentPart(const std::string &end);

    /** Counts the end of a part of a lookup that this host gathers, for another host or itself. */
    void countGatheredPart(const std::string &outcome);

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Counter> &m_attempts;
    prometheus::Family<prometheus::Counter> &m_sentParts;
    prometheus::Family<prometheus::Counter> &m_gatheredParts;
    prometheus::Histogram &m_latency;

public:
    prometheus::Counter &hedges;
    prometheus::Counter &retries;
    prometheus::Counter &budgetDenials;
    prometheus::Counter &connectionsOpened;
    prometheus::Counter &targetPauses;
    prometheus::Counter &limitDenials;
    prometheus::Counter &suspectTests;
    prometheus::Gauge &suspects;
    prometheus::Counter &storeCalls;
    prometheus::Counter &storeFailures;
    prometheus::Counter &storeListings;
    prometheus::Counter &storeItemsOutdated;
    prometheus::Counter &storeRestores;
    prometheus::Gauge &storeRevision;
    prometheus::Gauge &storeEra;
    prometheus::Counter &logLinesDropped;
    prometheus::Counter &configurationsRead;
    prometheus::Gauge &configurationVersion;
    prometheus::Gauge &targets;
    prometheus::Gauge &members;
    prometheus::Gauge &requestsRunning;
    prometheus::Counter &relayBytes;
    prometheus::Counter &relayOverLimit;
    prometheus::Gauge &receivePeak;
    prometheus::Counter &receiveRefusals;
    prometheus::Histogram &loopTurnTime;
    prometheus::Histogram &connectionTime;
};

} // namespace mustardcourse::serving
