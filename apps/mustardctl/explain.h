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

/** What the logs tell of one request. */
struct explanation
{
    /** Lines of the request itself, in the order of time. */
    std::vector<log_line> own;
    /** The state that its hosts were in: the latest line before it of each event that changes what
       a host believes, and the latest line of each target that it names. */
    std::vector<log_line> context;
    /** Lines that were left out on those hosts about then, so that the record may have gaps. */
    std::vector<log_line> gaps;
};

/** Finds what lines of any hosts tell of a request. */
explanation explainRequest(std::string_view id, const std::vector<std::string> &lines);

/** Prints what the log files tell of a request. @throws error if a file cannot be read */
int explain(const std::vector<std::string> &words);

} // namespace mustardcourse::control
