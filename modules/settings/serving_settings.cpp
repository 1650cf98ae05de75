#include <mustardcourse/settings/serving_settings.h>

#include "log_level_name.h"
#include "section_rules.h"

namespace mustardcourse::settings {

namespace {

using namespace std::chrono_literals;

void readListen(serving_settings &settings, const ini_document &document)
{
    section_reader listen(document, requireSection(document, "listen"));
    settings.callerListen = listen.address("caller");
    settings.readinessListen = listen.address("readiness");
    settings.metricsListen = listen.address("metrics");
    if (settings.callerListen == settings.readinessListen)
        listen.fail(settings_fault::Inconsistent, "readiness",
                    "the address is the same as that of caller");
    if (settings.metricsListen == settings.callerListen
        || settings.metricsListen == settings.readinessListen)
        listen.fail(settings_fault::Inconsistent, "metrics", "the address is used twice");
    settings.relayListen = listen.optionalAddress("relay");
    const auto &relay = settings.relayListen;
    if (relay == settings.callerListen || relay == settings.readinessListen
        || relay == settings.metricsListen)
        listen.fail(settings_fault::Inconsistent, "relay", "the address is used twice");
    listen.rejectUnknownKeys();
}

void readNetwork(serving_settings &settings, const ini_document &document)
{
    const ini_section *section = document.find("network");
    if (section == nullptr)
        return;
    constexpr double defaultRate = 1000;
    section_reader network(document, *section);
    settings.linkRate = data_rate::megabitsPerSecond(
        network.number("link_mbit_per_s", defaultRate, 0.01, 1'000'000));
    network.rejectUnknownKeys();
}

void readRetries(serving_settings &settings, const ini_document &document)
{
    const ini_section *section = document.find("retries");
    if (section == nullptr)
        return;
    section_reader retries(document, *section);
    settings.retryRatio = retries.number("ratio", settings.retryRatio, 0, 1);
    settings.retryAllowance = retries.number("extra", settings.retryAllowance, 0, 100'000);
    retries.rejectUnknownKeys();
}

void readTimes(serving_settings &settings, const ini_document &document)
{
    const ini_section *section = document.find("times");
    if (section == nullptr)
        return;
    section_reader times(document, *section);
    settings.stopGrace = times.duration("stop_grace", settings.stopGrace, 1s, 10min);
    settings.callerNetworkDelay =
        times.duration("caller_travel", settings.callerNetworkDelay, 0ms, 1s);
    settings.otherDataCentrePenalty =
        times.duration("other_data_centre_penalty", settings.otherDataCentrePenalty, 0ms, 10s);
    settings.abandonedAttemptTime =
        times.duration("abandoned_attempt", settings.abandonedAttemptTime, 0ms, 10s);
    settings.retryAfter = times.duration("retry_after", settings.retryAfter, 1ms, 60s);
    times.rejectUnknownKeys();
}

} // namespace

bool serving_settings::isFormatOf(const ini_document &document)
{
    return document.find("store") != nullptr;
}

serving_settings serving_settings::read(const ini_document &document)
{
    rejectUnknownSections(document,
                          {"host", "listen", "network", "store", "retries", "times", "log"});
    serving_settings settings;

    section_reader host(document, requireSection(document, "host"));
    settings.host = host_id(host.text("id"));
    settings.dataCentre = data_centre_id(host.text("data_centre"));
    constexpr double maximumCores = 1024;
    const double cores = host.number("cores", 1, 0.001, maximumCores);
    settings.cores = core_share(cores * host.number("core_speed", 1, 0.001, maximumCores));
    constexpr std::uint64_t defaultMegabytes = 160;
    settings.memory = megabytes(host.count("memory_mb", defaultMegabytes, 8, 1024 * 1024));
    host.rejectUnknownKeys();

    readListen(settings, document);

    section_reader store(document, requireSection(document, "store"));
    settings.store = store.address("address");
    store.rejectUnknownKeys();

    settings.logLevel = readLogLevel(document);
    readNetwork(settings, document);
    readRetries(settings, document);
    readTimes(settings, document);
    return settings;
}

} // namespace mustardcourse::settings
