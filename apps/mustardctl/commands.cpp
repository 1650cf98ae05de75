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

ABSL_FLAG(std::string, host, "127.0.0.1:8101", "address at which a host serves callers");
ABSL_FLAG(bool, json, false, "print the host's answer as JSON");
ABSL_FLAG(std::string, author, "", "who makes the change; the login name by default");
ABSL_FLAG(std::string, comment, "", "why the change is made, for the audit trail");
ABSL_FLAG(std::string, change, "", "identifier of the change; repeat it to repeat the command");
ABSL_FLAG(std::int64_t, revision, -1, "revision that the settings were edited from");
ABSL_FLAG(std::string, id, "", "identifier of the request; repeat it to repeat the request");
ABSL_FLAG(std::string, request_class, "normal", "class of the request: low, normal or high");
ABSL_FLAG(std::uint64_t, deadline_ms, 0, "deadline of the request in milliseconds");
ABSL_FLAG(std::uint64_t, issued_at_ms, 0, "when the request was first issued, Unix time");
ABSL_FLAG(std::uint64_t, limit, 0, "hits to return at the most");

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

std::string orRandom(const std::string &given, const char *prefix)
{
    return given.empty() ? randomId(prefix) : given;
}

std::string authorName()
{
    std::string given = absl::GetFlag(FLAGS_author);
    if (!given.empty())
        return given;
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

void checkText(const std::string &team, const std::string &file, const std::string &text)
{
    settings::team_settings::read(team_id(team), revision(),
                                  settings::ini_document::parse(file, text));
}

void printJson(const json &body)
{
    fmt::print("{}\n", body.dump(2));
}

/** Prints the answer in full if that was asked for, else what the function prints. */
void present(const json &body, const std::function<void()> &printText)
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
    fmt::print(stderr, "  nothing was changed; edit from that revision and apply again\n");
}

int reportChange(const host_answer &answer)
{
    switch (answer.status) {
    case 200:
        present(answer.body, [&] {
            fmt::print("team {} is at revision {}\n", answer.body.value("team", ""),
                       answer.body.value("revision", 0));
        });
        return ExitOk;
    case 409:
        if (absl::GetFlag(FLAGS_json))
            printJson(answer.body);
        printConflict(answer.body);
        return ExitConflict;
    case 504:
        fmt::print(stderr, "mustardctl: {}\n", answer.body.value("message", ""));
        return ExitUnknown;
    default:
        fmt::print(stderr, "mustardctl: {}: {}\n", answer.body.value("error", ""),
                   answer.body.value("message", ""));
        return answer.status == 503 ? ExitNotRun : ExitRefused;
    }
}

host_answer sendChange(host_client &host, const std::string &team, std::uint64_t expected,
                       const std::string &text, const std::string &comment)
{
    return host.post("/v1/teams/" + team,
                     {{"expected_revision", expected},
                      {"text", text},
                      {"change", orRandom(absl::GetFlag(FLAGS_change), "change")},
                      {"author", authorName()},
                      {"comment", comment}});
}

int check(const std::vector<std::string> &words)
{
    checkText(words[0], words[1], readText(words[1]));
    fmt::print("{}: accepted\n", words[1]);
    return ExitOk;
}

int apply(const std::vector<std::string> &words)
{
    const std::string text = readText(words[1]);
    checkText(words[0], words[1], text);
    const std::int64_t edited = absl::GetFlag(FLAGS_revision);
    if (edited < 0)
        throw usage_error("apply needs --revision, the revision that the text was edited from");
    host_client host = connect();
    return reportChange(sendChange(host, words[0], static_cast<std::uint64_t>(edited), text,
                                   absl::GetFlag(FLAGS_comment)));
}

host_answer fetchTeam(host_client &host, const std::string &team)
{
    host_answer answer = host.get("/v1/teams/" + team);
    if (answer.status != 200)
        throw host_error(answer.body.value("message", "the host refused"));
    return answer;
}

int show(const std::vector<std::string> &words)
{
    host_client host = connect();
    const host_answer answer = fetchTeam(host, words[0]);
    present(answer.body, [&] {
        fmt::print("; team {} revision {}\n{}", words[0], answer.body.value("revision", 0),
                   answer.body.value("text", ""));
    });
    return ExitOk;
}

int audit(const std::vector<std::string> &words)
{
    host_client host = connect();
    const host_answer answer = fetchTeam(host, words[0]);
    const json entries = answer.body.value("audit", json::array());
    present(entries, [&] {
        for (const json &entry : entries) {
            const auto at = static_cast<std::time_t>(entry.value("at", std::int64_t{0}));
            fmt::print("{:>6}  {:%Y-%m-%dT%H:%M:%SZ}  {:<16}  {:<26}  {}\n",
                       entry.value("revision", 0), fmt::gmtime(at), entry.value("author", ""),
                       entry.value("change", ""), entry.value("comment", ""));
        }
    });
    return ExitOk;
}

/** Changes the state of a data centre; the change is made again if another one came first. */
int setDataCentre(const std::vector<std::string> &words, bool isOut)
{
    host_client host = connect();
    const std::string &team = words[1];
    const std::string comment = fmt::format("data centre {} {}", words[0], isOut ? "out" : "in");
    host_answer answer = host.get("/v1/teams/" + team);
    const bool isNew = answer.status == 404;
    json record = isNew ? json{{"revision", 0}, {"text", ""}} : answer.body;
    if (!isNew && answer.status != 200)
        return reportChange(answer);
    for (int attempt = 0; attempt < maximumConflictRetries; ++attempt) {
        const std::string text = settings::withDataCentreState(record.value("text", ""),
                                                               data_centre_id(words[0]), isOut);
        answer = sendChange(host, team, record.value("revision", std::uint64_t{0}), text, comment);
        if (answer.status != 409)
            break;
        record = answer.body;
    }
    return reportChange(answer);
}

int members(const std::vector<std::string> &)
{
    const host_answer answer = connect().get("/v1/members");
    present(answer.body, [&] {
        for (const json &member : answer.body.value("members", json::array()))
            fmt::print("{:<16}  {:<16}  {:<22}  {}\n", member.value("host", ""),
                       member.value("data_centre", ""), member.value("peer", ""),
                       member.value("state", ""));
    });
    return ExitOk;
}

int targets(const std::vector<std::string> &)
{
    const host_answer answer = connect().get("/v1/targets");
    present(answer.body, [&] {
        fmt::print("{:<22}  {:<8}  {:>7}  {:>6}  {:>6}  {:>11}  {}\n", "target", "state", "permits",
                   "in use", "queued", "connections", "held versions");
        for (const json &target : answer.body.value("targets", json::array()))
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
    json body{{"id", orRandom(absl::GetFlag(FLAGS_id), prefix)},
              {"class", absl::GetFlag(FLAGS_request_class)}};
    if (absl::GetFlag(FLAGS_deadline_ms) > 0)
        body["deadline_ms"] = absl::GetFlag(FLAGS_deadline_ms);
    return body;
}

int reportRefusal(const host_answer &answer)
{
    const std::string outcome = answer.body.value("outcome", "rejected");
    fmt::print(stderr, "mustardctl: {}: {}\n", outcome,
               answer.body.value("reason", answer.body.value("message", "")));
    if (!answer.retryAfter.empty())
        fmt::print(stderr, "  come back after {} s\n", answer.retryAfter);
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

int lookup(const std::vector<std::string> &words)
{
    json body = commonFields("lookup");
    body["service"] = words[0];
    body["query"] = words[1];
    if (absl::GetFlag(FLAGS_limit) > 0)
        body["limit"] = absl::GetFlag(FLAGS_limit);
    const host_answer answer = connect().post("/v1/lookup", body);
    if (absl::GetFlag(FLAGS_json))
        printJson(answer.body);
    if (answer.status != 200)
        return reportRefusal(answer);
    if (!absl::GetFlag(FLAGS_json))
        printLookup(answer.body);
    const json &coverage = answer.body["coverage"];
    return coverage["answered"] == coverage["expected"] ? ExitOk : ExitPartial;
}

int request(const std::vector<std::string> &words)
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const std::uint64_t given = absl::GetFlag(FLAGS_issued_at_ms);
    json body = commonFields("request");
    body["service"] = words[0];
    body["key"] = words[1];
    body["body"] = words[2];
    body["issued_at_ms"] = given > 0 ? given : static_cast<std::uint64_t>(now.count());
    const host_answer answer = connect().post("/v1/request", body);
    if (absl::GetFlag(FLAGS_json))
        printJson(answer.body);
    if (answer.status != 200)
        return reportRefusal(answer);
    if (!absl::GetFlag(FLAGS_json))
        fmt::print("{}: {} ({})  {}\n", answer.body.value("id", ""),
                   answer.body.value("outcome", ""), answer.body.value("reason", ""),
                   answer.body["result"].dump());
    return ExitOk;
}

struct command
{
    const char *name;
    std::size_t wordCount;
    const char *arguments;
    const char *purpose;
    std::function<int(const std::vector<std::string> &)> run;
};

int state(const std::vector<std::string> &)
{
    const host_answer answer = connect().get("/status");
    fmt::print("{}\n", answer.body.dump(2));
    return ExitOk;
}

int dataCentreOut(const std::vector<std::string> &words)
{
    return setDataCentre(words, true);
}

int dataCentreIn(const std::vector<std::string> &words)
{
    return setDataCentre(words, false);
}

const std::vector<command> &commands()
{
    static const std::vector<command> all{
        {"check", 2, "TEAM FILE", "check a team's settings without applying them", check},
        {"apply", 2, "TEAM FILE", "apply a team's settings (needs --revision)", apply},
        {"show", 1, "TEAM", "print a team's settings and their revision", show},
        {"audit", 1, "TEAM", "print who changed a team's settings, when and why", audit},
        {"data-centre-out", 2, "NAME TEAM", "give a data centre no new work", dataCentreOut},
        {"data-centre-in", 2, "NAME TEAM", "give a data centre work again", dataCentreIn},
        {"members", 0, "", "list the hosts of the tier as the host sees them", members},
        {"targets", 0, "", "list the targets that the host is the home of", targets},
        {"state", 0, "",
         "print what a host on the platform believes; --host is its metrics address", state},
        {"explain", 2, "ID FILE...", "tell from log files what became of a request", explain},
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
    for (const command &known : commands())
        text += fmt::format("  {:<34}{}\n", fmt::format("{} {}", known.name, known.arguments),
                            known.purpose);
    text += "\nExit codes: 0 done, 1 no answer, 2 usage, 3 refused, 4 conflict, 5 not run,\n"
            "6 unknown, 7 partial coverage.";
    return text;
}

int runCommand(const std::vector<std::string> &words)
{
    if (words.empty())
        throw usage_error("a command is required");
    if (words[0] == "help") {
        fmt::print("{}\n", usageText());
        return ExitOk;
    }
    for (const command &known : commands()) {
        if (words[0] != known.name)
            continue;
        const bool takesMore = std::string_view(known.arguments).ends_with("...");
        const std::size_t given = words.size() - 1;
        if (given < known.wordCount || (given > known.wordCount && !takesMore))
            throw usage_error(fmt::format("usage: mustardctl {} {}", known.name, known.arguments));
        return known.run({words.begin() + 1, words.end()});
    }
    throw usage_error(fmt::format("there is no command '{}'", words[0]));
}

} // namespace mustardcourse::control
