#pragma once

#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/wire/http_connection.h>

#include <nlohmann/json.hpp>

namespace mustardcourse::control {

/** An HTTP response of a host. */
struct host_response
{
    int status = 0;
    nlohmann::json body;
    /** Value of Retry-After in seconds; empty if the response has none. */
    std::string retryAfter;
};

/** Sends HTTP requests to one host of the tier. */
class host_client
{
public:
    explicit host_client(const endpoint &host);

    /** @throws host_error if there is no response or it is not JSON */
    host_response get(const std::string &path);

    /** @throws host_error if there is no response or it is not JSON */
    host_response post(const std::string &path, const nlohmann::json &body);

private:
    host_response send(wire::outgoing_request request);

    endpoint m_host;
    wire::event_loop m_loop;
    wire::http_connection m_connection;
};

} // namespace mustardcourse::control
