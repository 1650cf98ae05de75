#include "metrics.h"

#include <prometheus/text_serializer.h>

namespace mustardcourse::daemon {

namespace {

prometheus::Family<prometheus::Counter> &counters(prometheus::Registry &registry,
                                                  const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Counter &counter(prometheus::Registry &registry, const std::string &name,
                             const std::string &help)
{
    return counters(registry, name, help).Add({});
}

prometheus::Gauge &gauge(prometheus::Registry &registry, const std::string &name,
                         const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Histogram &latencyHistogram(prometheus::Registry &registry)
{
    const prometheus::Histogram::BucketBoundaries bounds{
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.17, 0.25, 0.5, 1, 2.5, 5, 10};
    return prometheus::BuildHistogram()
        .Name("mustardcourse_lookup_seconds")
        .Help("Time from the arrival of a lookup to its answer")
        .Register(registry)
        .Add({}, bounds);
}

} // namespace

metrics::metrics()
    : m_lookups(counters(m_registry, "mustardcourse_lookups_total", "Lookups by outcome"))
    , m_executes(counters(m_registry, "mustardcourse_requests_total",
                          "Non-idempotent requests by outcome"))
    , m_shardFailures(counters(m_registry, "mustardcourse_shard_failures_total",
                               "Shard calls without an answer, by reason"))
    , lookupSeconds(latencyHistogram(m_registry))
    , targetCalls(counter(m_registry, "mustardcourse_target_calls_total",
                          "Requests sent to targets by this host"))
    , targetConnectionsOpened(counter(m_registry, "mustardcourse_target_connections_opened_total",
                                      "Connections opened to targets by this host"))
    , retries(counter(m_registry, "mustardcourse_shard_retries_total",
                      "Shard calls retried on another replica"))
    , storeCalls(counter(m_registry, "mustardcourse_store_calls_total",
                         "Calls to the configuration store, including watches"))
    , gossipBytes(counter(m_registry, "mustardcourse_gossip_bytes_total",
                          "Bytes of digests sent and received, without framing"))
    , requestsRunning(
          gauge(m_registry, "mustardcourse_requests_running", "Caller requests in progress"))
    , membersServing(gauge(m_registry, "mustardcourse_members_serving",
                           "Members that accept new work, according to this host"))
    , settingsAgeSeconds(gauge(m_registry, "mustardcourse_settings_age_seconds",
                               "Time since the settings were last known to be current"))
    , processorSeconds(gauge(m_registry, "mustardcourse_processor_seconds",
                             "Processor time used by this process"))
    , residentBytes(
          gauge(m_registry, "mustardcourse_resident_bytes", "Resident memory of this process"))
{ }

std::string metrics::render() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

void metrics::countLookup(const std::string &outcome)
{
    m_lookups.Add({{"outcome", outcome}}).Increment();
}

void metrics::countExecute(const std::string &outcome)
{
    m_executes.Add({{"outcome", outcome}}).Increment();
}

void metrics::countGossip(std::size_t words)
{
    constexpr std::size_t bytesPerWord = 8;

    gossipBytes.Increment(static_cast<double>(words * bytesPerWord));
}

void metrics::countShardFailure(const std::string &failure)
{
    m_shardFailures.Add({{"reason", failure}}).Increment();
}

} // namespace mustardcourse::daemon
