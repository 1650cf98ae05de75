#include <mustardcourse/serving/status_report.h>

#include <nlohmann/json.hpp>

namespace mustardcourse::serving {

using nlohmann::json;

namespace {

json describeRoute(const route &each)
{
    json services = json::array();
    for (const weighted_service &service : each.services)
        services.push_back({{"service", service.service.value()}, {"weight", service.weight}});
    json shards = json::array();
    for (const service_id &shard : each.shards)
        shards.push_back(shard.value());
    return {{"name", each.name.value()},
            {"hostName", each.hostName},
            {"pathPrefix", each.pathPrefix},
            {"idempotent", each.isIdempotent},
            {"timeoutMs", each.timeout.count()},
            {"latencyObjectiveMs", each.latencyObjective.count()},
            {"priority", each.priority.value()},
            {"services", services},
            {"shards", shards}};
}

std::string avoidanceOf(const target &known, const target_directory &directory, time_point now)
{
    if (known.registration().isLeaving)
        return "leaving";
    if (directory.evacuated().contains(known.registration().dataCentre))
        return "evacuated";
    if (known.avoidedUntil() > now)
        return "failing";
    return "no";
}

json describeTarget(const target &known, const target_directory &directory, time_point now)
{
    const target_registration &registration = known.registration();
    return {{"target", registration.instance.value()},
            {"service", registration.service.value()},
            {"address", registration.address.toString()},
            {"dataCentre", registration.dataCentre.value()},
            {"slots", registration.slots},
            {"cold", known.isCold(now)},
            {"slowness", known.slowness(now)},
            {"failureShare", known.failureShare()},
            {"inFlight", known.inFlight()},
            {"avoided", avoidanceOf(known, directory, now)}};
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
    for (const target *known : state.directory.all())
        document["targets"].push_back(describeTarget(*known, state.directory, now));
    if (!state.activeConfiguration)
        return document.dump();
    document["routes"] = json::array();
    for (const route &each : state.activeConfiguration->routes())
        document["routes"].push_back(describeRoute(each));
    const std::chrono::duration<double> age = now - state.configurationActiveSince;
    document["configuration"] = {{"version", state.activeConfiguration->version().value()},
                                 {"ageSeconds", age.count()}};
    return document.dump();
}

} // namespace mustardcourse::serving
