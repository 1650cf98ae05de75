#include "explain.h"

#include "commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <set>

namespace mustardcourse::control {

namespace {

/** Events that change the state of a host; the latest one before a request applies to it. */
constexpr std::array<std::string_view, 9> stateEvents{
    "started",  "configuration-in-force", "evacuations",       "members",          "store-lost",
    "stopping", "store-regained",         "settings-reloaded", "membership-lapsed"};

log_line parse(const std::string &text)
{
    log_line line;
    line.text = text;
    // A log collector may prefix the line with columns of its own.
    const auto level = text.find(" level=");
    if (level == std::string::npos)
        return line;
    const auto begin = text.rfind(' ', level - 1);
    line.time = text.substr(begin == std::string::npos ? 0 : begin + 1,
                            level - (begin == std::string::npos ? 0 : begin + 1));
    line.host = valueOf(text, "host");
    line.event = valueOf(text, "event");
    return line;
}

bool isStateChange(const log_line &line)
{
    return std::find(stateEvents.begin(), stateEvents.end(), line.event) != stateEvents.end();
}

bool isEarlier(const log_line &left, const log_line &right)
{
    return left.time < right.time;
}

/** Returns the latest state line up to a time per host, event and target, chronologically. */
std::vector<log_line> latestBefore(const std::vector<log_line> &lines, const std::string &until,
                                   const std::set<std::string> &hosts,
                                   const std::set<std::string> &targets)
{
    std::map<std::string, log_line> latest;
    for (const log_line &line : lines) {
        if (line.time > until || !hosts.contains(line.host))
            continue;
        const std::string target = valueOf(line.text, "target");
        const bool isTarget = line.event.starts_with("target-") && targets.contains(target);
        if (isTarget || isStateChange(line))
            latest[line.host + line.event + target] = line;
    }
    std::vector<log_line> found;
    found.reserve(latest.size());
    for (const auto &[key, line] : latest)
        found.push_back(line);
    std::stable_sort(found.begin(), found.end(), isEarlier);
    return found;
}

void print(std::string_view title, const std::vector<log_line> &lines)
{
    if (lines.empty())
        return;
    fmt::print("{}\n", title);
    for (const log_line &line : lines)
        fmt::print("  {}\n", line.text.substr(line.text.find(line.time)));
}

} // namespace

std::string valueOf(std::string_view line, std::string_view key)
{
    const std::string prefix = fmt::format(" {}=", key);
    const auto at = line.find(prefix);
    if (at == std::string_view::npos)
        return "";
    std::string_view rest = line.substr(at + prefix.size());
    if (!rest.starts_with('"'))
        return std::string(rest.substr(0, rest.find(' ')));
    rest.remove_prefix(1);
    return std::string(rest.substr(0, rest.find('"')));
}

explanation explainRequest(std::string_view id, const std::vector<std::string> &lines)
{
    std::vector<log_line> parsed;
    parsed.reserve(lines.size());
    for (const std::string &text : lines)
        parsed.push_back(parse(text));
    std::stable_sort(parsed.begin(), parsed.end(), isEarlier);

    explanation found;
    std::set<std::string> hosts;
    std::set<std::string> targets;
    for (const log_line &line : parsed) {
        if (valueOf(line.text, "id") != id)
            continue;
        found.requestLines.push_back(line);
        hosts.insert(line.host);
        targets.insert(valueOf(line.text, "target"));
    }
    if (found.requestLines.empty())
        return found;
    found.context = latestBefore(parsed, found.requestLines.back().time, hosts, targets);
    // A host logs the count of dropped lines within a second of dropping them.
    constexpr std::size_t secondsLength = std::string_view("2026-01-01T00:00:00").size();
    const std::string second = found.requestLines.back().time.substr(0, secondsLength);
    for (const log_line &line : parsed) {
        if (line.event == "log-lines-left-out" && hosts.contains(line.host)
            && line.time.substr(0, secondsLength) == second)
            found.gaps.push_back(line);
    }
    return found;
}

int explain(const std::vector<std::string> &arguments)
{
    std::vector<std::string> lines;
    for (auto file = arguments.begin() + 1; file != arguments.end(); ++file) {
        std::ifstream input(*file);
        if (!input)
            throw host_error(fmt::format("{}: cannot open the file", *file));
        for (std::string line; std::getline(input, line);)
            lines.push_back(line);
    }
    const explanation found = explainRequest(arguments[0], lines);
    if (found.requestLines.empty()) {
        fmt::print("no log line of request {}; one in 64 answered requests is logged\n",
                   arguments[0]);
        return ExitFailed;
    }
    print("the request:", found.requestLines);
    print("state of its hosts at that time:", found.context);
    print("log lines dropped by these hosts within that second:", found.gaps);
    return ExitOk;
}

} // namespace mustardcourse::control
