#pragma once

#include "blocking_connection.h"
#include "loop_fixture.h"
#include "platform_store.h"
#include "platform_target.h"

#include <mustardcourse/http/client_pool.h>

#include <platform_host.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <optional>

namespace mustardcourse::tests {

/** One host of the platform deployment, the store, and one target with its service "s1". */
class single_host_fixture : public loop_fixture
{
public:
    static constexpr std::uint16_t storePort = 20911;
    static constexpr std::uint16_t callerPort = 20912;
    static constexpr std::uint16_t readinessPort = 20913;
    static constexpr std::uint16_t metricsPort = 20914;
    static constexpr std::uint16_t relayPort = 20915;
    static constexpr std::uint16_t targetPort = 20916;
    /** First port for a test's own use. */
    static constexpr std::uint16_t freePort = 20917;
    /** Time that a target may be told beyond what a caller has left. */
    static constexpr duration maximumExcess = std::chrono::milliseconds(500);
    /** Time for which a caller waits. */
    static constexpr std::chrono::milliseconds callerDeadline{3000};

    static endpoint local(std::uint16_t port) { return {"127.0.0.1", port}; }

    static settings::serving_settings hostSettings()
    {
        settings::serving_settings settings;
        settings.host = host_id("host-1");
        settings.dataCentre = data_centre_id("riga");
        settings.callerListen = local(callerPort);
        settings.readinessListen = local(readinessPort);
        settings.metricsListen = local(metricsPort);
        settings.store = local(storePort);
        settings.logLevel = log_level::Error;
        return settings;
    }

    /** Starts the host and waits until it is ready. */
    void startHost(const settings::serving_settings &settings)
    {
        host.emplace(loop, time, log, settings, "/nonexistent/settings.ini");
        runUntil([&] { return get("/", readinessPort).status == 200; });
    }

    /** Registers the target at its own address, and starts the host with one route to it. */
    void startHostWithOneRoute()
    {
        registerTarget(local(targetPort));
        writeConfiguration(1, 0);
        startHost(hostSettings());
    }

    /** Registers the target at an address, and starts the host with routes of all types. The target
        responds at once. */
    void startHostWithRoutesOfAllTypes(const endpoint &targetAddress = local(targetPort))
    {
        registerTarget(targetAddress);
        writeRoutesOfAllTypes();
        startHost(hostSettings());
        target.setWorkTime(std::chrono::milliseconds(0));
    }

    /** Registers the target at an address in front of it. */
    void registerTarget(const endpoint &address)
    {
        auto registration = nlohmann::json::parse(target.registration("riga", "ready", 1));
        registration["Address"] = address.toString();
        store.put("servers/i-0", registration.dump());
    }

    /** Writes a configuration with the routes "/path-0/" to "/path-N/".
        @param connections  maximum number of connections to the target */
    void writeConfiguration(std::uint64_t version, std::size_t furtherRoutes,
                            std::size_t connections = 20)
    {
        using nlohmann::json;
        json routes = json::array();
        for (std::size_t number = 0; number <= furtherRoutes; ++number)
            routes.push_back({{"Name", fmt::format("route-{}", number)},
                              {"Host", "h"},
                              {"PathPrefix", fmt::format("/path-{}/", number)},
                              {"RouteType", "idempotent"},
                              {"TimeoutMs", 5000},
                              {"TargetLatencyMs", 2000},
                              {"Priority", 1},
                              {"MaxAttempts", 2},
                              {"Service", "s1"}});
        const json service{
            {"Name", "s1"}, {"HealthPath", "/health"}, {"MaxConnections", connections}};
        store.put(
            "op/config",
            json{{"ConfigVersion", version}, {"Routes", routes}, {"Services", {service}}}.dump());
    }

    /** Writes a configuration with the routes "/idempotent/", "/once/" for requests that may run
        once, and "/lookup/" for lookups in all shards. */
    void writeRoutesOfAllTypes()
    {
        using nlohmann::json;
        json routes = json::array();
        const auto addRoute = [&](const std::string &name, const std::string &type) -> json & {
            routes.push_back({{"Name", name},
                              {"Host", "h"},
                              {"PathPrefix", fmt::format("/{}/", name)},
                              {"RouteType", type},
                              {"TimeoutMs", 5000},
                              {"TargetLatencyMs", 2000},
                              {"Priority", 1},
                              {"MaxAttempts", 2}});
            return routes.back();
        };
        addRoute("idempotent", "idempotent")["Service"] = "s1";
        addRoute("once", "non_idempotent")["Service"] = "s1";
        json &lookup = addRoute("lookup", "idempotent");
        lookup["FanoutServices"] = {"s1"};
        lookup["ResultCount"] = 5;
        lookup["MinShardShare"] = 1;
        const json service{{"Name", "s1"}, {"HealthPath", "/health"}, {"MaxConnections", 20}};
        store.put("op/config",
                  json{{"ConfigVersion", 1}, {"Routes", routes}, {"Services", {service}}}.dump());
    }

    /** Sends requests until the host uses the target again, which it avoids after a failure. */
    void awaitService()
    {
        runUntil([&] {
            return request("GET /idempotent/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id\r\n\r\n")
                .starts_with("HTTP/1.1 200");
        });
    }

    /** Returns the request of a caller, without a body. */
    static std::string callerRequest(std::string_view headers = "")
    {
        return fmt::format("GET /path-0/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id\r\n"
                           "X-Time-Budget-Ms: {}\r\n{}\r\n",
                           callerDeadline.count(), headers);
    }

    http::response get(const std::string &path, std::uint16_t port)
    {
        http::client_pool pool(loop, time, local(port), {.maximumConnections = 1});
        std::optional<http::exchange_result> result;
        pool.send({.bytes = fmt::format("GET {} HTTP/1.1\r\nHost: h\r\n\r\n", path),
                   .matchesRequest = {},
                   .onEnd = [&](http::exchange_result &&ended) { result = std::move(ended); }});
        runUntil([&] { return result.has_value(); });
        return std::move(result->answer);
    }

    /** Sends the bytes of a request of a caller and returns the whole response. */
    std::string request(const std::string &bytes)
    {
        const blocking_connection connection(callerPort);
        connection.send(bytes);
        std::string received;
        runUntil([&] {
            received += connection.receive();
            return received.find("\r\n\r\n") != std::string::npos;
        });
        return received;
    }

    /** Returns the version of the configuration that the host follows. */
    std::uint64_t activeVersion()
    {
        const auto status = nlohmann::json::parse(get("/status", metricsPort).body);
        return status.at("configuration").at("version").get<std::uint64_t>();
    }

    /** Returns the value of a metric of the host that has no labels. */
    double metric(const std::string &name)
    {
        const std::string text = "\n" + get("/metrics", metricsPort).body;
        const auto line = text.find("\n" + name + " ");
        REQUIRE(line != std::string::npos);
        return std::stod(text.substr(line + name.size() + 2));
    }

    /** Returns by how much a request that has just arrived at the target tells it more time than
        its caller, who sent it at a time, has left. */
    [[nodiscard]] duration excessOf(const http::request &arrived, time_point sentAt) const
    {
        const auto told = http::findHeader(arrived.headers, "X-Time-Budget-Ms");
        const std::chrono::milliseconds toldTime(std::stoll(std::string(told.value_or("0"))));
        return toldTime - (callerDeadline - (time.now() - sentAt));
    }

    logger log{time, "test", log_level::Error};
    standins::platform_store store{loop, time, local(storePort)};
    standins::platform_target target{
        loop, time, local(targetPort), {.instance = "i-0", .service = "s1"}};
    std::optional<platform_adapter::platform_host> host;
};

} // namespace mustardcourse::tests
