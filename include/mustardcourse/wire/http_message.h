#pragma once

#include <map>
#include <string>
#include <vector>

namespace mustardcourse::wire {

/** HTTP request received by a server. */
struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> arguments;
    std::string authorization;
    std::string body;
};

/** Header field of a response. */
struct http_header
{
    std::string name;
    std::string value;
};

/** HTTP response, sent by a server or received by a client. */
struct http_response
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<http_header> headers;
    /** Makes the server close the connection without responding. Stand-ins use this to simulate
        faults. */
    bool shouldAbortConnection = false;
};

/** Percent-encodes a text for use as a value in the query component of a URI. */
std::string escapeUri(const std::string &text);

} // namespace mustardcourse::wire
