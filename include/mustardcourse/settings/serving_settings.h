#pragma once

#include <mustardcourse/core/core_share.h>
#include <mustardcourse/core/data_rate.h>
#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/core/ids.h>
#include <mustardcourse/core/log.h>
#include <mustardcourse/core/memory_size.h>
#include <mustardcourse/settings/ini_document.h>

#include <chrono>
#include <optional>

namespace mustardcourse::settings {

/** Settings file of a host in the platform deployment. */
struct serving_settings
{
    host_id host;
    data_centre_id dataCentre;
    /** What this host may use of a processor. */
    core_share cores{1};
    /** Memory that this host may use. */
    memory_size memory = megabytes(160);
    endpoint callerListen;
    endpoint readinessListen;
    endpoint metricsListen;
    /** Address at which this host relays store changes to other hosts and gathers parts of their
        lookups; nullopt if it does neither. */
    std::optional<endpoint> relayListen;
    /** Data rate of this host's network link. */
    data_rate linkRate = data_rate::megabitsPerSecond(1000);
    endpoint store;
    log_level logLevel = log_level::Info;

    /** Additional attempts that all hosts together may make per request of a service. */
    double retryRatio = 0.1;
    /** Additional attempts allowed on top of the ratio, within the platform's window. */
    double retryAllowance = 20;

    /** Time between the stop signal and the platform killing the process. */
    std::chrono::microseconds stopGrace = std::chrono::seconds(6);
    /** One-way network delay between a caller and a host. */
    std::chrono::microseconds callerNetworkDelay = std::chrono::milliseconds(3);
    /** Latency added to targets in other data centres when targets are compared. */
    std::chrono::microseconds otherDataCentrePenalty = std::chrono::milliseconds(8);
    /** How long an attempt may keep running after its request has ended. */
    std::chrono::microseconds abandonedAttemptTime = std::chrono::milliseconds(200);
    /** Delay after which a rejected caller is told to retry. */
    std::chrono::microseconds retryAfter = std::chrono::milliseconds(100);

    /** Returns whether a document is for the platform deployment, not a standalone deployment. */
    static bool isFormatOf(const ini_document &document);

    /**
        Reads the settings from a parsed file.

        @throws settings_error for the first invalid section, key or value
    */
    static serving_settings read(const ini_document &document);

    friend bool operator==(const serving_settings &, const serving_settings &) = default;
};

} // namespace mustardcourse::settings
