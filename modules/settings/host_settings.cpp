#include <mustardcourse/settings/host_settings.h>

#include "log_level_name.h"
#include "section_rules.h"

namespace mustardcourse::settings {

namespace {

using namespace std::chrono_literals;

host_limits readLimits(const ini_document &document)
{
    host_limits limits;
    const ini_section *section = document.find("limits");
    if (section == nullptr)
        return limits;
    section_reader reader(document, *section);
    limits.maximumConcurrentRequests =
        reader.count("concurrent_requests", limits.maximumConcurrentRequests, 1, 100'000);
    limits.maximumTargetQueueLength =
        reader.count("target_queue", limits.maximumTargetQueueLength, 1, 100'000);
    limits.bodyBytes = reader.count("body_bytes", limits.bodyBytes, 256, 16 * 1024 * 1024);
    limits.maximumDeadline =
        reader.duration("maximum_deadline", limits.maximumDeadline, 10ms, 10min);
    limits.stopTimeout = reader.duration("stop_timeout", limits.stopTimeout, 100ms, 10min);
    limits.stopGrace = reader.duration("stop_grace", limits.stopGrace, 0ms, 10min);
    reader.rejectUnknownKeys();
    return limits;
}

host_intervals readIntervals(const ini_document &document)
{
    host_intervals intervals;
    const ini_section *section = document.find("intervals");
    if (section == nullptr)
        return intervals;
    section_reader reader(document, *section);
    intervals.gossip = reader.duration("gossip", intervals.gossip, 10ms, 60s);
    intervals.hostList = reader.duration("host_list", intervals.hostList, 10ms, 10min);
    intervals.targetStatus = reader.duration("target_status", intervals.targetStatus, 10ms, 10min);
    intervals.storeRetry = reader.duration("store_retry", intervals.storeRetry, 10ms, 10min);
    reader.rejectUnknownKeys();
    return intervals;
}

} // namespace

host_settings host_settings::read(const ini_document &document)
{
    rejectUnknownSections(document, {"host", "listen", "platform", "limits", "intervals", "log"});
    host_settings settings;

    section_reader host(document, requireSection(document, "host"));
    settings.host = host_id(host.text("id"));
    settings.dataCentre = data_centre_id(host.text("data_centre"));
    const std::string dispatch = host.choice("dispatch", "homes", {"homes", "direct"});
    settings.dispatch = dispatch == "direct" ? dispatch_mode::Direct : dispatch_mode::Homes;
    host.rejectUnknownKeys();

    section_reader listen(document, requireSection(document, "listen"));
    settings.callerListen = listen.address("caller");
    settings.peerListen = listen.address("peer");
    if (settings.callerListen == settings.peerListen)
        listen.fail(settings_fault::Inconsistent, "peer",
                    "the address is the same as that of caller");
    listen.rejectUnknownKeys();

    section_reader platform(document, requireSection(document, "platform"));
    settings.store = platform.address("store");
    settings.hostList = platform.address("host_list");
    platform.rejectUnknownKeys();

    settings.logLevel = readLogLevel(document);
    settings.limits = readLimits(document);
    settings.intervals = readIntervals(document);
    return settings;
}

} // namespace mustardcourse::settings
