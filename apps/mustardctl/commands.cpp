#include "commands.h"

#include "explain.h"
#include "host_client.h"

#include <mustardcourse/core/clock.h>
#include <mustardcourse/settings/team_settings.h>

#include <absl/flags/flag.h>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <sstream>

ABSL_FLAG(std::string, host, "127.0.0.1:8101", "address at which a host accepts callers");
ABSL_FLAG(bool, json, false, "print the host's response as JSON");
ABSL_FLAG(std::string, author, "", "author of the change; the login name by default");
ABSL_FLAG(std::string, comment, "", "reason for the change, for the audit trail");
ABSL_FLAG(std::string, change, "", "identifier of the change; reuse it to retry the command");
ABSL_FLAG(std::int64_t, revision, -1, "revision that the settings were edited from");
ABSL_FLAG(std::string, id, "", "identifier of the request; reuse it to retry the request");
ABSL_FLAG(std::string, request_class, "normal", "class of the request: low, normal or high");
ABSL_FLAG(std::uint64_t, deadline_ms, 0, "deadline of the request in milliseconds");
ABSL_FLAG(std::uint64_t, issued_at_ms, 0,
          "Unix time in milliseconds when the request was first issued");
ABSL_FLAG(std::uint64_t, limit, 0, "maximum number of hits to return");

namespace mustardcourse::control {

namespace {

using nlohmann::json;

constexpr int maximumConflictRetries = 5;

host_client connect()
{
    return host_client(endpoint::parse(absl::GetFlag(FLAGS_host)));
}

std::string randomId(const char *prefix)
{
    std::random_device random;
    return fmt::format("{}-{:08x}{:08x}", prefix, random(), random());
}

std::string valueOrRandomId(const std::string &value, const char *prefix)
{
    return value.empty() ? randomId(prefix) : value;
}

std::string authorName()
{
    std::string author = absl::GetFlag(FLAGS_author);
    if (!author.empty())
        return author;
    const char *login = std::getenv("USER");
    return login == nullptr || *login == '\0' ? "unnamed" : login;
}

std::string readText(const std::string &file)
{
    std::ostringstream text;
    if (file == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream stream(file);
    if (!stream)
        throw usage_error(fmt::format("cannot open '{}'", file));
    text << stream.rdbuf();
    return text.str();
}

void validateText(const std::string &team, const std::string &file, const std::string &text)
{
    settings::team_settings::read(team_id(team), revision(),
                                  settings::ini_document::parse(file, text));
}

void printJson(const json &body)
{
    fmt::print("{}\n", body.dump(2));
}

/** Prints the response as JSON if --json is set, else calls printText. */
void printResponse(const json &body, const std::function<void()> &printText)
{
    if (absl::GetFlag(FLAGS_json))
        printJson(body);
    else
        printText();
}

void printConflict(const json &body)
{
    fmt::print(stderr, "mustardctl: conflict: the settings are at revision {}\n",
               body.value("revision", 0));
    const json audit = body.value("audit", json::array());
    if (!audit.empty())
        fmt::print(stderr, "  last change: {} by {}: {}\n", audit.back().value("change", ""),
                   audit.back().value("author", ""), audit.back().value("comment", ""));
    fmt::print(stderr, "  nothing was changed; edit the current revision and apply it again\n");
}

int reportChange(const host_response &response)
{
    switch (response.status) {
    case 200:
        printResponse(response.body, [&] {
            fmt::print("team {} is at revision {}\n", response.body.value("team", ""),
                       response.body.value("revision", 0));
        });
        return ExitOk;
    case 409:
        if (absl::GetFlag(FLAGS_json))
            printJson(response.body);
        printConflict(response.body);
        return ExitConflict;
    case 504:
        fmt::print(stderr, "mustardctl: {}\n", response.body.value("message", ""));
        return ExitUnknown;
    default:
        fmt::print(stderr, "mustardctl: {}: {}\n", response.body.value("error", ""),
                   response.body.value("message", ""));
        return response.status == 503 ? ExitNotRun : ExitRefused;
    }
}

host_response sendChange(host_client &host, const std::string &team, std::uint64_t expectedRevision,
                         const std::string &text, const std::string &comment)
{
    return host.post("/v1/teams/" + team,
                     {{"expected_revision", expectedRevision},
                      {"text", text},
                      {"change", valueOrRandomId(absl::GetFlag(FLAGS_change), "change")},
                      {"author", authorName()},
                      {"comment", comment}});
}

int check(const std::vector<std::string> &arguments)
{
    validateText(arguments[0], arguments[1], readText(arguments[1]));
    fmt::print("{}: accepted\n", arguments[1]);
    return ExitOk;
}

int apply(const std::vector<std::string> &arguments)
{
    const std::string text = readText(arguments[1]);
    validateText(arguments[0], arguments[1], text);
    const std::int64_t editedRevision = absl::GetFlag(FLAGS_revision);
    if (editedRevision < 0)
        throw usage_error("apply needs --revision, the revision that the text was edited from");
    host_client host = connect();
    return reportChange(sendChange(host, arguments[0], static_cast<std::uint64_t>(editedRevision),
                                   text, absl::GetFlag(FLAGS_comment)));
}

host_response fetchTeam(host_client &host, const std::string &team)
{
    host_response response = host.get("/v1/teams/" + team);
    if (response.status != 200)
        throw host_error(response.body.value("message", "the host rejected the request"));
    return response;
}

int show(const std::vector<std::string> &arguments)
{
    host_client host = connect();
    const host_response response = fetchTeam(host, arguments[0]);
    printResponse(response.body, [&] {
        fmt::print("; team {} revision {}\n{}", arguments[0], response.body.value("revision", 0),
                   response.body.value("text", ""));
    });
    return ExitOk;
}

int audit(const std::vector<std::string> &arguments)
{
    host_client host = connect();
    const host_response response = fetchTeam(host, arguments[0]);
    const json entries = response.body.value("audit", json::array());
    printResponse(entries, [&] {
        for (const json &entry : entries) {
            const auto at = static_cast<std::time_t>(entry.value("at", std::int64_t{0}));
            fmt::print("{:>6}  {:%Y-%m-%dT%H:%M:%SZ}  {:<16}  {:<26}  {}\n",
                       entry.value("revision", 0), fmt::gmtime(at), entry.value("author", ""),
                       entry.value("change", ""), entry.value("comment", ""));
        }
    });
    return ExitOk;
}

/** Sets the state of a data centre. Retries if the settings were changed concurrently. */
int setDataCentre(const std::vector<std::string> &arguments, bool isOut)
{
    host_client host = connect();
    const std::string &team = arguments[1];
    const std::string comment =
        fmt::format("data centre {} {}", arguments[0], isOut ? "out" : "in");
    host_response response = host.get("/v1/teams/" + team);
    const bool isNew = response.status == 404;
    json record = isNew ? json{{"revision", 0}, {"text", ""}} : response.body;
    if (!isNew && response.status != 200)
        return reportChange(response);
    for (int attempt = 0; attempt < maximumConflictRetries; ++attempt) {
        const std::string text = settings::withDataCentreState(record.value("text", ""),
                                                               data_centre_id(arguments[0]), isOut);
        response =
            sendChange(host, team, record.value("revision", std::uint64_t{0}), text, comment);
        if (response.status != 409)
            break;
        record = response.body;
    }
    return reportChange(response);
}

int members(const std::vector<std::string> &)
{
    const host_response response = connect().get("/v1/members");
    printResponse(response.body, [&] {
        for (const json &member : response.body.value("members", json::array()))
            fmt::print("{:<16}  {:<16}  {:<22}  {}\n", member.value("host", ""),
                       member.value("data_centre", ""), member.value("peer", ""),
                       member.value("state", ""));
    });
    return ExitOk;
}

int targets(const std::vector<std::string> &)
{
    const host_response response = connect().get("/v1/targets");
    printResponse(response.body, [&] {
        fmt::print("{:<22}  {:<8}  {:>7}  {:>6}  {:>6}  {:>11}  {}\n", "target", "state", "permits",
                   "in use", "queued", "connections", "index versions");
        for (const json &target : response.body.value("targets", json::array()))
            fmt::print("{:<22}  {:<8}  {:>7}  {:>6}  {:>6}  {:>11}  {}{}\n",
                       target.value("target", ""), target.value("state", ""),
                       target.value("permits", 0), target.value("in_use", 0),
                       target.value("queued", 0), target.value("connections", 0),
                       target["held"].dump(), target.value("leaving", false) ? " leaving" : "");
    });
    return ExitOk;
}

json commonFields(const char *prefix)
{
    json body{{"id", valueOrRandomId(absl::GetFlag(FLAGS_id), prefix)},
              {"class", absl::GetFlag(FLAGS_request_class)}};
    if (absl::GetFlag(FLAGS_deadline_ms) > 0)
        body["deadline_ms"] = absl::GetFlag(FLAGS_deadline_ms);
    return body;
}

int reportRejection(const host_response &response)
{
    const std::string outcome = response.body.value("outcome", "rejected");
    fmt::print(stderr, "mustardctl: {}: {}\n", outcome,
               response.body.value("reason", response.body.value("message", "")));
    if (!response.retryAfter.empty())
        fmt::print(stderr, "  retry after {} s\n", response.retryAfter);
    if (outcome == "notRun")
        return ExitNotRun;
    return outcome == "unknown" ? ExitUnknown : ExitRefused;
}

void printLookup(const json &body)
{
    const json &coverage = body["coverage"];
    fmt::print("coverage {}/{}  index version {}  map revision {}\n", coverage.value("answered", 0),
               coverage.value("expected", 0), body["snapshot"].value("index_version", 0),
               body["snapshot"].value("map_revision", 0));
    for (const json &shard : coverage.value("missing", json::array()))
        fmt::print("  missing shard {}: {}\n", shard.value("shard", 0), shard.value("reason", ""));
    for (const json &hit : body.value("hits", json::array()))
        fmt::print("  {:.6f}  {:<24}  {}\n", hit.value("score", 0.0), hit.value("key", ""),
                   hit.value("document", ""));
}

int lookup(const std::vector<std::string> &arguments)
{
    json body = commonFields("lookup");
    body["service"] = arguments[0];
    body["query"] = arguments[1];
    if (absl::GetFlag(FLAGS_limit) > 0)
        body["limit"] = absl::GetFlag(FLAGS_limit);
    const host_response response = connect().post("/v1/lookup", body);
    if (absl::GetFlag(FLAGS_json))
        printJson(response.body);
    if (response.status != 200)
        return reportRejection(response);
    if (!absl::GetFlag(FLAGS_json))
        printLookup(response.body);
    const json &coverage = response.body["coverage"];
    return coverage["answered"] == coverage["expected"] ? ExitOk : ExitPartial;
}

int request(const std::vector<std::string> &arguments)
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const std::uint64_t issuedAt = absl::GetFlag(FLAGS_issued_at_ms);
    json body = commonFields("request");
    body["service"] = arguments[0];
    body["key"] = arguments[1];
    body["body"] = arguments[2];
    body["issued_at_ms"] = issuedAt > 0 ? issuedAt : static_cast<std::uint64_t>(now.count());
    const host_response response = connect().post("/v1/request", body);
    if (absl::GetFlag(FLAGS_json))
        printJson(response.body);
    if (response.status != 200)
        return reportRejection(response);
    if (!absl::GetFlag(FLAGS_json))
        fmt::print("{}: {} ({})  {}\n", response.body.value("id", ""),
                   response.body.value("outcome", ""), response.body.value("reason", ""),
                   response.body["result"].dump());
    return ExitOk;
}

struct command
{
    const char *name;
    std::size_t argumentCount;
    const char *argumentNames;
    const char *description;
    std::function<int(const std::vector<std::string> &)> run;
};

int state(const std::vector<std::string> &)
{
    const host_response response = connect().get("/status");
    fmt::print("{}\n", response.body.dump(2));
    return ExitOk;
}

int dataCentreOut(const std::vector<std::string> &arguments)
{
    return setDataCentre(arguments, true);
}

int dataCentreIn(const std::vector<std::string> &arguments)
{
    return setDataCentre(arguments, false);
}

const std::vector<command> &commands()
{
    static const std::vector<command> all{
        {"check", 2, "TEAM FILE", "check a team's settings without applying them", check},
        {"apply", 2, "TEAM FILE", "apply a team's settings (needs --revision)", apply},
        {"show", 1, "TEAM", "print a team's settings and their revision", show},
        {"audit", 1, "TEAM", "print who changed a team's settings, when and why", audit},
        {"data-centre-out", 2, "NAME TEAM", "stop sending new requests to a data centre",
         dataCentreOut},
        {"data-centre-in", 2, "NAME TEAM", "resume sending requests to a data centre",
         dataCentreIn},
        {"members", 0, "", "list the hosts of the tier from the view of the host", members},
        {"targets", 0, "", "list the targets whose home is the host", targets},
        {"state", 0, "", "print the state of a host on the platform; --host is its metrics address",
         state},
        {"explain", 2, "ID FILE...", "show the events of a request from log files", explain},
        {"lookup", 2, "SERVICE QUERY", "search a service", lookup},
        {"request", 3, "SERVICE KEY BODY", "run a non-idempotent request at most once", request},
    };
    return all;
}

} // namespace

std::string usageText()
{
    std::string text = "Operates the mustardcourse query tier.\n"
                       "  mustardctl [--host=ADDRESS] [--json] COMMAND ...\n\n";
    for (const command &candidate : commands())
        text += fmt::format("  {:<34}{}\n",
                            fmt::format("{} {}", candidate.name, candidate.argumentNames),
                            candidate.description);
    text += "\nExit codes: 0 success, 1 no response, 2 usage, 3 rejected, 4 conflict, 5 not run,\n"
            "6 unknown, 7 partial coverage.";
    return text;
}

int runCommand(const std::vector<std::string> &arguments)
{
    if (arguments.empty())
        throw usage_error("a command is required");
    if (arguments[0] == "help") {
        fmt::print("{}\n", usageText());
        return ExitOk;
    }
    for (const command &candidate : commands()) {
        if (arguments[0] != candidate.name)
            continue;
        const bool isVariadic = std::string_view(candidate.argumentNames).ends_with("...");
        const std::size_t count = arguments.size() - 1;
        if (count < candidate.argumentCount || (count > candidate.argumentCount && !isVariadic))
            throw usage_error(
                fmt::format("usage: mustardctl {} {}", candidate.name, candidate.argumentNames));
        return candidate.run({arguments.begin() + 1, arguments.end()});
    }
    throw usage_error(fmt::format("unknown command '{}'", arguments[0]));
}

} // namespace mustardcourse::control
