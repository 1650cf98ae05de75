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

/** Version of a serving configuration; a greater one is newer. Zero stands for none. */
using configuration_version = strong_value<struct configuration_version_tag, std::uint64_t>;

/** Urgency of a route; zero is the most urgent. */
using route_priority = strong_value<struct route_priority_tag, std::uint32_t>;

/** One of the services among which a route spreads its requests. */
struct weighted_service
{
    service_id service;
    double weight = 1;
};

/** How requests of one host name and path prefix are served. */
struct route
{
    route_id name;
    std::string hostName;
    std::string pathPrefix;
    /** Whether a request may run more than once. */
    bool isIdempotent = false;
    /** The longest time that a request is kept waiting. */
    std::chrono::milliseconds timeout{0};
    /** The time within which a response has its full worth. */
    std::chrono::milliseconds latencyObjective{0};
    /** Targets that one request may be sent to, for each shard. */
    std::size_t maximumTargets = 1;
    route_priority priority;
    /** The services that one request chooses from; empty if it asks all shards. */
    std::vector<weighted_service> services;
    /** The services that a request asks all of, one a shard; empty for a single target. */
    std::vector<service_id> shards;
    /** Records of a merged answer. */
    std::size_t resultCount = 0;
    /** The least share of the shards that makes an answer, from 0 to 1. */
    double minimumShardShare = 1;

    [[nodiscard]] bool queriesAllShards() const noexcept { return !shards.empty(); }
};

/** What operators say of a service. */
struct service_parameters
{
    std::string healthPath;
    /** Connections that one of its targets bears from all hosts together. */
    std::size_t maximumConnections = 1;
    /** Requests a second that a cold target bears from all hosts; no limit is known if zero. */
    double coldRequestsPerSecond = 0;
};

/** What callers may send. */
struct caller_request_limits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

/** One version of what operators have set, as a whole. It never changes once it is made. */
class configuration
{
public:
    configuration(configuration_version version, std::vector<route> routes,
                  std::map<service_id, service_parameters> services, caller_request_limits callers);

    [[nodiscard]] configuration_version version() const noexcept { return m_version; }
    [[nodiscard]] const std::vector<route> &routes() const noexcept { return m_routes; }
    [[nodiscard]] const caller_request_limits &callers() const noexcept { return m_callers; }

    /** Returns the terms of a service, or null if the configuration does not name it. */
    [[nodiscard]] const service_parameters *findService(const service_id &service) const;

    /**
        Returns the route of a request: the longest prefix of that host name that begins the path.

        @param hostName  value of the Host header; a port behind it does not count
        @returns null if there is none
    */
    [[nodiscard]] const route *match(std::string_view hostName, std::string_view path) const;

private:
    configuration_version m_version;
    std::vector<route> m_routes;
    std::map<service_id, service_parameters> m_services;
    caller_request_limits m_callers;
    /** Routes of each host name, the longest prefix first. */
    std::map<std::string, std::vector<const route *>, std::less<>> m_byHost;
};

using configuration_pointer = std::shared_ptr<const configuration>;

/** Spreads the requests of a route over its services by smooth weighted round robin. */
class weighted_round_robin
{
public:
    /** Returns the service of the next request. Precondition: the list is not empty. */
    const service_id &next(const std::vector<weighted_service> &services);

private:
    std::vector<double> m_credits;
};

} // namespace mustardcourse::serving
