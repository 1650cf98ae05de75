#pragma once

#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/core/ids.h>
#include <mustardcourse/core/log.h>
#include <mustardcourse/settings/ini_document.h>

#include <chrono>

namespace mustardcourse::settings {

/** Limits that one host process applies to callers and targets. */
struct host_limits
{
    /** Lookups and non-idempotent requests that may run concurrently; more are rejected. */
    std::size_t maximumConcurrentRequests = 512;
    /** Shard calls that may wait for a permit of one target; more are rejected. */
    std::size_t maximumTargetQueueLength = 256;
    /** Maximum size of a request body. */
    std::size_t bodyBytes = 64 * 1024;
    /** Maximum deadline that a caller may request. */
    std::chrono::microseconds maximumDeadline = std::chrono::seconds(10);
    /** Time that running requests have to complete during a planned stop. */
    std::chrono::microseconds stopTimeout = std::chrono::seconds(15);
    /** Time between "not ready" and closing the listener, for the load balancer to react. */
    std::chrono::microseconds stopGrace = std::chrono::seconds(1);
};

/** Intervals of the periodic background tasks of one host process. */
struct host_intervals
{
    std::chrono::microseconds gossip = std::chrono::milliseconds(500);
    std::chrono::microseconds hostList = std::chrono::seconds(2);
    std::chrono::microseconds targetStatus = std::chrono::seconds(1);
    std::chrono::microseconds storeRetry = std::chrono::milliseconds(500);
};

/** How an entry forwards requests to a target. */
enum class dispatch_mode {
    /** Through the home of the target, the only host with connections to it. */
    Homes,
    /** Directly from the entry. Serves as the baseline for measuring the cost of homes. */
    Direct,
};

/** Settings file of a host in a standalone deployment. */
struct host_settings
{
    host_id host;
    data_centre_id dataCentre;
    endpoint callerListen;
    endpoint peerListen;
    endpoint store;
    endpoint hostList;
    log_level logLevel = log_level::Info;
    dispatch_mode dispatch = dispatch_mode::Homes;
    host_limits limits;
    host_intervals intervals;

    /**
        Reads the settings from a parsed file.

        @throws settings_error for the first invalid section, key or value
    */
    static host_settings read(const ini_document &document);
};

} // namespace mustardcourse::settings
