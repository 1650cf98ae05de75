#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardcourse::http {

/** A header field. */
struct header_field
{
    std::string name;
    std::string value;
};

/** Header fields in the order of the message. */
using header_fields = std::vector<header_field>;

/** Compares two ASCII texts case-insensitively, as header names are compared. */
bool equalsIgnoreCase(std::string_view left, std::string_view right);

/** Returns a text without the blanks and tabs around it. */
std::string_view trim(std::string_view text);

/** Returns the value of the first field with this name, if there is one. */
std::optional<std::string_view> findHeader(const header_fields &fields, std::string_view name);

/** Returns whether a field concerns a single connection and must not be forwarded (RFC 9110,
    7.6.1), or is written anew by each sender. */
bool isHopByHopHeader(std::string_view name);

/** Appends all fields but hop-by-hop ones, those that `Connection` lists, and `Expect`. */
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
    /** Whether the connection may be reused. */
    bool isKeepAlive = true;
    /** Whether the close of the connection delimited the body, so that a truncated body looks
        like a complete one. */
    bool isDelimitedByClose = false;
};

/** Returns the standard reason phrase of a status. */
std::string_view reasonPhrase(int status);

/** Appends a status line, with the standard reason phrase unless another is given. */
void appendStatusLine(std::string &text, int status, std::string_view reason = {});

/** Appends a header field with its line end. */
void appendHeader(std::string &text, std::string_view name, std::string_view value);

} // namespace mustardcourse::http
