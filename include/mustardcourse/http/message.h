#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardcourse::http {

/** One header field, as it was received. */
struct header_field
{
    std::string name;
    std::string value;
};

/** Header fields in their order. */
using header_fields = std::vector<header_field>;

/** Returns whether two header names are the same; their case does not count. */
bool equalsIgnoreCase(std::string_view left, std::string_view right);

/** Returns the value of the first field of that name, or nothing. */
std::optional<std::string_view> findHeader(const header_fields &fields, std::string_view name);

/** Returns whether a field belongs to one connection and must not be forwarded (RFC 9110, 7.6.1).
 */
bool isHopByHopHeader(std::string_view name);

/** Appends every field that may be forwarded, without those that `Connection` names. */
void appendForwardableHeaders(std::string &text, const header_fields &fields);

/** A complete HTTP/1.1 request. */
struct request
{
    std::string method;
    std::string target;
    header_fields headers;
    std::string body;
    /** Whether the sender keeps the connection open for another request. */
    bool isKeepAlive = true;
};

/** A complete HTTP/1.1 response. */
struct response
{
    int status = 0;
    std::string reason;
    header_fields headers;
    std::string body;
    /** Whether the connection may be used again. */
    bool isKeepAlive = true;
    /** Whether only the end of the connection told where the body ends, so that a body which was
        cut short looks the same. */
    bool isDelimitedByClose = false;
};

/** Returns the usual reason phrase of a status. */
std::string_view reasonPhrase(int status);

/** Appends a status line. */
void appendStatusLine(std::string &text, int status, std::string_view reason = {});

/** Appends one header line. */
void appendHeader(std::string &text, std::string_view name, std::string_view value);

} // namespace mustardcourse::http
