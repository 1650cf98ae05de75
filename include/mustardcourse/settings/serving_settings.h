#pragma once

#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/core/ids.h>
#include <mustardcourse/core/log.h>
#include <mustardcourse/settings/ini_document.h>

#include <chrono>
#include <optional>

namespace mustardcourse::settings {

/** What a host on the platform learns from its own settings file. */
struct serving_settings
{
    host_id host;
    data_centre_id dataCentre;
    endpoint callerListen;
    endpoint readinessListen;
    endpoint metricsListen;
    /** Where this host passes changes of the store on to others; nothing if it does not. */
    std::optional<endpoint> relayListen;
    endpoint store;
    log_level logLevel = log_level::Info;

    /** Further attempts that all hosts may add for each request of a service. */
    double retryRatio = 0.1;
    /** Further attempts besides, within the platform's window. */
    double retryExtra = 20;

    /** Time from the signal to stop until the platform kills the process. */
    std::chrono::microseconds stopGrace = std::chrono::seconds(6);
    /** Time of a message between a caller and a host. */
    std::chrono::microseconds callerNetworkDelay = std::chrono::milliseconds(3);
    /** Latency that it is worth to stay within the own data centre. */
    std::chrono::microseconds otherDataCentrePenalty = std::chrono::milliseconds(8);
    /** How long an attempt may run on after its request has ended. */
    std::chrono::microseconds abandonedAttemptTime = std::chrono::milliseconds(200);
    /** When a refused caller is asked to come back. */
    std::chrono::microseconds retryAfter = std::chrono::milliseconds(100);

    /** Returns whether a document is of this kind and not of a host with its own surrounding. */
    static bool isMeant(const ini_document &document);

    /**
        Reads the settings of a host.

        @throws settings_error at the first thing that is not accepted
    */
    static serving_settings read(const ini_document &document);

    friend bool operator==(const serving_settings &, const serving_settings &) = default;
};

} // namespace mustardcourse::settings
