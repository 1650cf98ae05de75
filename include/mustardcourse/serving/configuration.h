#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/ids.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mustardcourse::serving {

/** Name of a route, unique in a configuration. */
using route_id = strong_value<struct route_id_tag, std::string>;

/** Version of a serving configuration; a higher one is newer. Zero means none. */
using configuration_version = strong_value<struct configuration_version_tag, std::uint64_t>;

/** Urgency of a route; zero is the most urgent. */
using route_priority = strong_value<struct route_priority_tag, std::uint32_t>;

/** One of the services over which a route distributes its requests. */
struct weighted_service
{
    service_id service;
    double weight = 1;

    friend bool operator==(const weighted_service &, const weighted_service &) = default;
};

/** How requests for one host name and path prefix are served. */
struct route
{
    route_id name;
    std::string hostName;
    std::string pathPrefix;
    /** Whether a request may run more than once. */
    bool isIdempotent = false;
    /** Maximum time until a request is answered. */
    std::chrono::milliseconds timeout{0};
    /** Latency within which a response has its full value. */
    std::chrono::milliseconds latencyObjective{0};
    /** Maximum number of targets that one request may be sent to, per shard. */
    std::size_t maximumTargets = 1;
    route_priority priority;
    /** Services of which one serves a request; empty if a request queries all shards. */
    std::vector<weighted_service> services;
    /** Services that a request queries all of, one per shard; empty for a single target. */
    std::vector<service_id> shards;
    /** Number of records in a merged answer. */
    std::size_t resultCount = 0;
    /** Minimum share of the shards that an answer needs, from 0 to 1. */
    double minimumShardShare = 1;

    [[nodiscard]] bool queriesAllShards() const noexcept { return !shards.empty(); }
};

/** Parameters of a service, as set by operators. */
struct service_parameters
{
    std::string healthPath;
    /** Maximum number of connections to one of its targets from all hosts together. */
    std::size_t maximumConnections = 1;
    /** Maximum requests per second to a cold target from all hosts; no limit is known if zero. */
    double coldRequestsPerSecond = 0;
};

/** Limits of the requests that callers may send. */
struct caller_request_limits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

/** One complete version of what operators have set. It is immutable. */
class configuration
{
public:
    configuration(configuration_version version, std::vector<route> routes,
                  std::map<service_id, service_parameters> services,
                  caller_request_limits callerLimits);

    [[nodiscard]] configuration_version version() const noexcept { return m_version; }
    [[nodiscard]] const std::vector<route> &routes() const noexcept { return m_routes; }
    [[nodiscard]] const caller_request_limits &callerRequestLimits() const noexcept
    {
        return m_callerLimits;
    }

    /** Returns the parameters of a service, or null if the configuration does not contain it. */
    [[nodiscard]] const service_parameters *findService(const service_id &service) const;

    /**
        Returns the route of a request: the one with the longest matching path prefix among those
        of the host name.

        @param hostName  value of the Host header; case and a port are ignored
        @param path      path of the request; a query string is ignored
        @returns null if no route matches
    */
    [[nodiscard]] const route *match(std::string_view hostName, std::string_view path) const;

private:
    configuration_version m_version;
    std::vector<route> m_routes;
    std::map<service_id, service_parameters> m_services;
    caller_request_limits m_callerLimits;
    /** Routes by host name in lower case, longest path prefix first. */
    std::map<std::string, std::vector<const route *>, std::less<>> m_routesByHostName;
};

using configuration_pointer = std::shared_ptr<const configuration>;

/**
    Distributes the requests of a route over its services by smooth weighted round robin, which
    begins anew when the services or their weights change. A service of weight zero gets no request
    unless all have none.
*/
class weighted_round_robin
{
public:
    /** Returns the service of the next request. Precondition: the list is not empty. */
    const service_id &next(const std::vector<weighted_service> &services);

private:
    std::vector<weighted_service> m_services;
    std::vector<double> m_credits;
};

} // namespace mustardcourse::serving
