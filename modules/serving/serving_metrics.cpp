#include <mustardcourse/serving/serving_metrics.h>

#include <prometheus/text_serializer.h>

namespace mustardcourse::serving {

namespace {

prometheus::Counter &counter(prometheus::Registry &registry, const std::string &name,
                             const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge &gauge(prometheus::Registry &registry, const std::string &name,
                         const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Histogram &timeHistogram(prometheus::Registry &registry, const std::string &name,
                                     const std::string &help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add(
        {}, prometheus::Histogram::BucketBoundaries{0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1});
}

} // namespace

serving_metrics::serving_metrics()
    : m_requests(prometheus::BuildCounter()
                     .Name("mustardcourse_requests_total")
                     .Help("Requests of callers by outcome")
                     .Register(m_registry))
    , m_attempts(prometheus::BuildCounter()
                     .Name("mustardcourse_attempts_total")
                     .Help("Attempts at targets by outcome")
                     .Register(m_registry))
    , m_sentParts(prometheus::BuildCounter()
                      .Name("mustardcourse_sent_parts_total")
                      .Help("Parts of lookups sent to other hosts by how that ended")
                      .Register(m_registry))
    , m_gatheredParts(prometheus::BuildCounter()
                          .Name("mustardcourse_gathered_parts_total")
                          .Help("Parts of lookups gathered by this host by outcome")
                          .Register(m_registry))
    , m_latency(
          prometheus::BuildHistogram()
              .Name("mustardcourse_request_seconds")
              .Help("Time from the last byte of a request to its response")
              .Register(m_registry)
              .Add({},
                   prometheus::Histogram::BucketBoundaries{0.005, 0.01, 0.02, 0.03, 0.04, 0.06,
                                                           0.08, 0.12, 0.2, 0.4, 0.8, 1.6, 3.2}))
    , hedges(
          counter(m_registry, "mustardcourse_hedges_total", "Hedged attempts beside a running one"))
    , retries(counter(m_registry, "mustardcourse_retries_total", "Attempts after a failed one"))
    , budgetDenials(counter(m_registry, "mustardcourse_budget_denials_total",
                            "Additional attempts that the retry budget did not allow"))
    , connectionsOpened(
          counter(m_registry, "mustardcourse_dials_total", "New connections to targets"))
    , targetPauses(counter(m_registry, "mustardcourse_target_pauses_total",
                           "Refusals with which targets requested a pause"))
    , limitDenials(counter(m_registry, "mustardcourse_limit_denials_total",
                           "Attempts that the limits which targets have named did not allow"))
    , suspectTests(counter(m_registry, "mustardcourse_suspect_tests_total",
                           "Requests sent to one target as a test, as targets ended under them"))
    , suspects(gauge(m_registry, "mustardcourse_suspects",
                     "Requests under which targets have ended without an answer since"))
    , storeCalls(counter(m_registry, "mustardcourse_store_calls_total", "Calls to the store"))
    , storeFailures(counter(m_registry, "mustardcourse_store_failures_total",
                            "Calls to the store that were refused or not answered"))
    , storeListings(counter(m_registry, "mustardcourse_store_listings_total",
                            "Complete listings of the store's keys"))
    , storeItemsOutdated(counter(m_registry, "mustardcourse_store_items_outdated_total",
                                 "Items of the store ignored for a newer revision of their key"))
    , storeRestores(counter(m_registry, "mustardcourse_store_restores_total",
                            "Restores of the store from an older copy"))
    , storeRevision(gauge(m_registry, "mustardcourse_store_revision",
                          "Revision up to which this host has followed the store"))
    , storeEra(gauge(m_registry, "mustardcourse_store_era", "Era of that revision"))
    , logLinesDropped(counter(m_registry, "mustardcourse_log_lines_dropped_total",
                              "Log lines dropped to limit their volume"))
    , configurationsRead(counter(m_registry, "mustardcourse_configurations_read_total",
                                 "Documents of the operators that were decoded"))
    , configurationVersion(gauge(m_registry, "mustardcourse_configuration_version",
                                 "Version of the active configuration"))
    , targets(gauge(m_registry, "mustardcourse_targets", "Registered targets"))
    , members(gauge(m_registry, "mustardcourse_members", "Hosts that share the limits"))
    , requestsRunning(gauge(m_registry, "mustardcourse_requests_running", "Requests being served"))
    , relayBytes(counter(m_registry, "mustardcourse_relay_bytes_total",
                         "Bytes of store changes that this host has sent to other hosts"))
    , relayOverLimit(counter(m_registry, "mustardcourse_relay_over_limit_total",
                             "Responses that exceeded the relay's share of its host's link"))
    , receivePeak(gauge(m_registry, "mustardcourse_receive_peak_bytes",
                        "Most memory that messages of targets, hosts and the store took while they "
                        "were read"))
    , receiveRefusals(counter(m_registry, "mustardcourse_receive_refusals_total",
                              "Such messages that were given up as all together took too much"))
    , loopTurnTime(timeHistogram(m_registry, "mustardcourse_loop_turn_seconds",
                                 "Time between two waits for events, in which nothing is read"))
    , connectionTime(timeHistogram(m_registry, "mustardcourse_connection_seconds",
                                   "Time until a new connection to a target is established"))
{ }

std::string serving_metrics::render() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

void serving_metrics::countRequest(const std::string &outcome, duration latency)
{
    m_requests.Add({{"outcome", outcome}}).Increment();
    m_latency.Observe(std::chrono::duration<double>(latency).count());
}

void serving_metrics::countAttempt(const std::string &end)
{
    m_attempts.Add({{"end", end}}).Increment();
}

void serving_metrics::countSentPart(const std::string &end)
{
    m_sentParts.Add({{"end", end}}).Increment();
}

void serving_metrics::countGatheredPart(const std::string &outcome)
{
    m_gatheredParts.Add({{"outcome", outcome}}).Increment();
}

} // namespace mustardcourse::serving
