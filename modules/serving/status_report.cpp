#include <mustardcourse/serving/status_report.h>

#include <nlohmann/json.hpp>

namespace mustardcourse::serving {

using nlohmann::json;

namespace {

json describeRoute(const route &describedRoute)
{
    json services = json::array();
    for (const weighted_service &service : describedRoute.services)
        services.push_back({{"service", service.service.value()}, {"weight", service.weight}});
    json shards = json::array();
    for (const service_id &shard : describedRoute.shards)
        shards.push_back(shard.value());
    return {{"name", describedRoute.name.value()},
            {"hostName", describedRoute.hostName},
            {"pathPrefix", describedRoute.pathPrefix},
            {"idempotent", describedRoute.isIdempotent},
            {"timeoutMs", describedRoute.timeout.count()},
            {"latencyObjectiveMs", describedRoute.latencyObjective.count()},
            {"priority", describedRoute.priority.value()},
            {"services", services},
            {"shards", shards}};
}

std::string avoidanceReasonOf(const target &describedTarget, const target_directory &directory,
                              time_point now)
{
    if (describedTarget.isLeaving())
        return "leaving";
    if (describedTarget.pausedUntil() > now)
        return "paused";
    if (directory.evacuated().contains(describedTarget.registration().dataCentre))
        return "evacuated";
    if (describedTarget.avoidedUntil() > now)
        return "failing";
    return "no";
}

json describeTarget(const target &describedTarget, const target_directory &directory,
                    time_point now)
{
    const target_registration &registration = describedTarget.registration();
    return {{"target", registration.instance.value()},
            {"service", registration.service.value()},
            {"address", registration.address.toString()},
            {"dataCentre", registration.dataCentre.value()},
            {"slots", registration.slots},
            {"cold", describedTarget.isCold(now)},
            {"limitPerSecond", describedTarget.namedLimit().value_or(0)},
            {"slowness", describedTarget.slowness(now)},
            {"failureShare", describedTarget.failureShare()},
            {"inFlight", describedTarget.inFlight()},
            {"avoided", avoidanceReasonOf(describedTarget, directory, now)}};
}

} // namespace

std::string describeState(const host_state &state, const clock &clock)
{
    const time_point now = clock.now();
    json document{{"host", state.host.value()},
                  {"ready", state.isReady},
                  {"members",
                   {{"listed", state.listedMemberCount}, {"counted", state.estimatedMemberCount}}}};
    document["evacuated"] = json::array();
    for (const data_centre_id &dataCentre : state.directory.evacuated())
        document["evacuated"].push_back(dataCentre.value());
    document["targets"] = json::array();
    for (const target *describedTarget : state.directory.all())
        document["targets"].push_back(describeTarget(*describedTarget, state.directory, now));
    if (!state.activeConfiguration)
        return document.dump();
    document["routes"] = json::array();
    for (const route &describedRoute : state.activeConfiguration->routes())
        document["routes"].push_back(describeRoute(describedRoute));
    const std::chrono::duration<double> age = now - state.configurationActiveSince;
    document["configuration"] = {{"version", state.activeConfiguration->version().value()},
                                 {"ageSeconds", age.count()}};
    return document.dump();
}

} // namespace mustardcourse::serving
