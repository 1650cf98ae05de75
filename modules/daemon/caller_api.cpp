#include "caller_api.h"

#include "request_reader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace mustardcourse::daemon {

using namespace requests;
using nlohmann::json;
using wire::http_request;
using wire::http_response;

namespace {

constexpr std::string_view teamPath = "/v1/teams/";

http_response jsonResponse(int status, const json &body, std::chrono::milliseconds retryAfter = {})
{
    http_response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    if (retryAfter > std::chrono::milliseconds::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
        response.headers.push_back({"retry-after", std::to_string(seconds.count())});
    }
    return response;
}

http_response errorResponse(int status, std::string_view code, const std::string &message)
{
    return jsonResponse(status, {{"error", code}, {"message", message}});
}

json hitsToJson(const std::vector<hit> &hits)
{
    json list = json::array();
    for (const hit &entry : hits)
        list.push_back({{"key", entry.key}, {"score", entry.score}, {"document", entry.document}});
    return list;
}

http_response toResponse(const request_id &id, const lookup_answer &answer)
{
    if (answer.outcome != lookup_outcome::Answered) {
        const bool isUnknown = answer.outcome == lookup_outcome::UnknownService;
        return jsonResponse(isUnknown ? 404 : 503,
                            {{"id", id.value()},
                             {"outcome", isUnknown ? "rejected" : "notRun"},
                             {"reason", nameOf(answer.outcome)}},
                            answer.retryAfter);
    }
    json missingShards = json::array();
    for (const missing_shard &shard : answer.missingShards)
        missingShards.push_back({{"shard", shard.shard.value()}, {"reason", nameOf(shard.reason)}});
    return jsonResponse(200,
                        {{"id", id.value()},
                         {"outcome", "answered"},
                         {"snapshot",
                          {{"map_revision", answer.mapRevision.value()},
                           {"index_version", answer.version.value()}}},
                         {"coverage",
                          {{"answered", answer.answeredCount},
                           {"expected", answer.expectedCount},
                           {"missing", std::move(missingShards)}}},
                         {"hits", hitsToJson(answer.hits)},
                         {"target_calls", answer.targetCalls}});
}

int statusOf(const execute_reply &reply)
{
    switch (reply.outcome) {
    case execute_outcome::Done:
        return 200;
    case execute_outcome::NotRun:
        return reply.reason == execute_reason::TooOld ? 400 : 503;
    case execute_outcome::Unknown:
        return 504;
    case execute_outcome::Rejected:
        if (reply.reason == execute_reason::UnknownService)
            return 404;
        return reply.reason == execute_reason::DifferentContent ? 409 : 422;
    }
    return 500;
}

http_response toResponse(const request_id &id, const execute_reply &reply)
{
    json body{
        {"id", id.value()}, {"outcome", nameOf(reply.outcome)}, {"reason", nameOf(reply.reason)}};
    const json result = json::parse(reply.body, nullptr, false);
    body["result"] = result.is_discarded() ? json(nullptr) : result;
    return jsonResponse(statusOf(reply), body, reply.retryAfter);
}

json auditToJson(const settings::team_record &record)
{
    json list = json::array();
    for (const settings::audit_entry &entry : record.audit)
        list.push_back({{"revision", entry.settingsRevision.value()},
                        {"change", entry.change},
                        {"author", entry.author},
                        {"at", entry.at.count()},
                        {"comment", entry.comment}});
    return list;
}

json recordToJson(const settings::team_record &record)
{
    return {{"team", record.team.value()},
            {"revision", record.settingsRevision.value()},
            {"text", record.text},
            {"audit", auditToJson(record)}};
}

http_response toResponse(const change_result &result)
{
    switch (result.outcome) {
    case change_outcome::Applied:
        return jsonResponse(200, recordToJson(result.record));
    case change_outcome::Conflict: {
        json body = recordToJson(result.record);
        body["error"] = "conflict";
        body["message"] = "another change was applied first";
        return jsonResponse(409, body);
    }
    case change_outcome::StoreUnavailable:
        return jsonResponse(503,
                            {{"error", "storeUnavailable"},
                             {"message", "the store cannot be reached; nothing was changed"}},
                            std::chrono::seconds(5));
    case change_outcome::Unknown:
        break;
    }
    return jsonResponse(504,
                        {{"error", "unknown"},
                         {"message", "the store did not respond; retry with the same change id"}},
                        std::chrono::seconds(5));
}

std::string_view nameOf(readiness state)
{
    switch (state) {
    case readiness::Ready:
        return "ready";
    case readiness::Stopping:
        return "stopping";
    case readiness::DataCentreOut:
        return "dataCentreOut";
    }
    return "unknown";
}

double residentBytes()
{
    std::ifstream statistics("/proc/self/statm");
    double totalPages = 0;
    double residentPages = 0;
    statistics >> totalPages >> residentPages;
    return residentPages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    constexpr double microsecondsPerSecond = 1e6;
    const auto seconds = usage.ru_utime.tv_sec + usage.ru_stime.tv_sec;
    const auto microseconds = usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
    return static_cast<double>(seconds) + static_cast<double>(microseconds) / microsecondsPerSecond;
}

} // namespace

caller_api::caller_api(const clock &clock, const logger &log, const settings::host_settings &host,
                       metrics &metrics, entry &entry, home &home, const settings_view &view,
                       settings_service &service, const membership::member_table &members,
                       kj::TaskSet &tasks)
    : m_clock(clock)
    , m_log(log)
    , m_host(host)
    , m_metrics(metrics)
    , m_entry(entry)
    , m_home(home)
    , m_view(view)
    , m_service(service)
    , m_members(members)
    , m_tasks(tasks)
{ }

readiness caller_api::state() const
{
    if (m_isStopping)
        return readiness::Stopping;
    return m_view.isOutForAllTeams(m_host.dataCentre) ? readiness::DataCentreOut : readiness::Ready;
}

kj::Promise<http_response> caller_api::handle(const http_request &request)
{
    try {
        return route(request);
    } catch (const malformed_request_error &failure) {
        return errorResponse(400, "malformedRequest", failure.what());
    } catch (const settings::settings_error &failure) {
        json body{{"error", nameOf(failure.fault())},
                  {"message", failure.what()},
                  {"line", failure.location().line},
                  {"section", failure.location().section},
                  {"key", failure.location().key}};
        return jsonResponse(422, body);
    }
}

kj::Promise<http_response> caller_api::route(const http_request &request)
{
    const bool isPost = request.method == "POST";
    if (isPost && request.path == "/v1/lookup")
        return lookup(request);
    if (isPost && request.path == "/v1/request")
        return execute(request);
    if (request.path.starts_with(teamPath))
        return team(request);
    if (request.method != "GET")
        return errorResponse(405, "methodNotAllowed", "the method is not allowed for this path");
    if (request.path == "/healthz")
        return jsonResponse(200, {{"state", "alive"}});
    if (request.path == "/readyz")
        return ready();
    if (request.path == "/metrics")
        return renderMetrics();
    if (request.path == "/v1/members")
        return members();
    if (request.path == "/v1/targets")
        return targets();
    return errorResponse(404, "notFound", "no such path");
}

kj::Promise<http_response> caller_api::lookup(const http_request &request)
{
    lookup_request lookupRequest = readLookupRequest(request.body);
    const request_id id = lookupRequest.id;
    return m_entry.lookup(std::move(lookupRequest)).then([this, id](lookup_answer &&answer) {
        const bool isPartial = answer.outcome == lookup_outcome::Answered
            && answer.answeredCount < answer.expectedCount;
        m_metrics.countLookup(isPartial ? "partial" : std::string(nameOf(answer.outcome)));
        m_log.debug(
            "lookup",
            {{"id", id.value()},
             {"outcome", nameOf(answer.outcome)},
             {"coverage", fmt::format("{}/{}", answer.answeredCount, answer.expectedCount)}});
        return toResponse(id, answer);
    });
}

kj::Promise<http_response> caller_api::execute(const http_request &request)
{
    execute_request executeRequest = readExecuteRequest(request.body);
    const request_id id = executeRequest.id;
    auto forked = m_entry.execute(std::move(executeRequest))
                      .then([this, id](execute_reply &&reply) {
                          m_metrics.countExecute(std::string(nameOf(reply.outcome)));
                          m_log.info("request",
                                     {{"id", id.value()},
                                      {"outcome", nameOf(reply.outcome)},
                                      {"reason", nameOf(reply.reason)}});
                          return toResponse(id, reply);
                      })
                      .fork();
    // A caller that disconnects must not cancel a request that may have been sent.
    m_tasks.add(forked.addBranch().ignoreResult());
    return forked.addBranch();
}

kj::Promise<http_response> caller_api::team(const http_request &request)
{
    const team_id team(request.path.substr(teamPath.size()));
    if (request.method == "POST")
        return change(team, request);
    const settings_in_force *inForce = m_view.find(team);
    if (inForce == nullptr)
        return errorResponse(404, "unknownTeam", "no settings of this team are in force here");
    return jsonResponse(200, recordToJson(inForce->record));
}

kj::Promise<http_response> caller_api::change(const team_id &team, const http_request &request)
{
    settings_change settingsChange = readSettingsChange(team, request.body);
    const auto document = settings::ini_document::parse(team.value(), settingsChange.text);
    // Only validates the text: throws settings_error if it is invalid.
    settings::team_settings::read(team, revision(), document);
    auto forked = m_service.apply(std::move(settingsChange))
                      .then([](change_result &&result) { return toResponse(result); })
                      .fork();
    m_tasks.add(forked.addBranch().ignoreResult());
    return forked.addBranch();
}

http_response caller_api::ready() const
{
    const readiness currentState = state();
    return jsonResponse(currentState == readiness::Ready ? 200 : 503,
                        {{"state", nameOf(currentState)}});
}

http_response caller_api::members() const
{
    json list = json::array();
    for (const membership::member_record &member : m_members.all())
        list.push_back({{"host", member.host.value()},
                        {"data_centre", member.dataCentre.value()},
                        {"peer", member.peerAddress.toString()},
                        {"incarnation", member.incarnationNumber.value()},
                        {"state", membership::nameOf(member.state)}});
    return jsonResponse(200, {{"host", m_host.host.value()}, {"members", std::move(list)}});
}

http_response caller_api::targets() const
{
    json list = json::array();
    for (const target_client *client : m_home.targets()) {
        json held = json::array();
        for (const index_version version : client->heldVersions())
            held.push_back(version.value());
        list.push_back({{"target", client->target().toString()},
                        {"state", limits::nameOf(client->gate().state())},
                        {"permits", client->gate().limit()},
                        {"in_use", client->gate().inUse()},
                        {"queued", client->queueLength()},
                        {"connections", client->openConnectionCount()},
                        {"leaving", client->isLeaving()},
                        {"held", std::move(held)}});
    }
    return jsonResponse(200, {{"host", m_host.host.value()}, {"targets", std::move(list)}});
}

http_response caller_api::renderMetrics() const
{
    const std::chrono::duration<double> age = m_clock.now() - m_service.lastCurrentAt();
    m_metrics.settingsAgeSeconds.Set(age.count());
    m_metrics.processorSeconds.Set(processorSeconds());
    m_metrics.residentBytes.Set(residentBytes());
    http_response response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = m_metrics.render();
    return response;
}

} // namespace mustardcourse::daemon
