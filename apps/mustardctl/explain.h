#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace mustardcourse::control {

/** One line of a host's log. */
struct log_line
{
    std::string text;
    std::string time;
    std::string host;
    std::string event;
};

/** Returns the value of a key in a line of key=value pairs, without its quotes; empty if absent. */
std::string valueOf(std::string_view line, std::string_view key);

/** Log lines that concern one request. */
struct explanation
{
    /** Lines of the request itself, in chronological order. */
    std::vector<log_line> requestLines;
    /** State of its hosts at the time: the latest line of each event that changes the state of a
       host, and the latest line of each target that the request used. */
    std::vector<log_line> context;
    /** Records of log lines that these hosts dropped at about that time. */
    std::vector<log_line> gaps;
};

/** Finds the lines that concern a request in the logs of any hosts. */
explanation explainRequest(std::string_view id, const std::vector<std::string> &lines);

/** Prints the log lines that concern a request. @throws error if a file cannot be opened */
int explain(const std::vector<std::string> &arguments);

} // namespace mustardcourse::control
