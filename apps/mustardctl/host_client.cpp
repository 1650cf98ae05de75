#include "host_client.h"

#include "commands.h"

#include <fmt/format.h>

namespace mustardcourse::control {

namespace {

constexpr std::chrono::seconds responseTimeout{30};

} // namespace

host_client::host_client(const endpoint &host)
    : m_host(host)
    , m_connection(m_loop, host)
{ }

host_response host_client::get(const std::string &path)
{
    wire::outgoing_request request;
    request.path = path;
    return send(std::move(request));
}

host_response host_client::post(const std::string &path, const nlohmann::json &body)
{
    wire::outgoing_request request;
    request.path = path;
    request.body = body.dump();
    return send(std::move(request));
}

host_response host_client::send(wire::outgoing_request request)
{
    request.timeout = responseTimeout;
    wire::exchange_result result = m_loop.run(m_connection.exchange(std::move(request)));
    if (result.outcome != wire::exchange_outcome::Answered)
        throw host_error(fmt::format("no response from {}: {}", m_host.toString(),
                                     wire::nameOf(result.failure)));
    auto body = nlohmann::json::parse(result.response.body, nullptr, false);
    if (body.is_discarded())
        throw host_error(fmt::format("{} is not a host of the tier: its response is not JSON",
                                     m_host.toString()));
    const auto &headers = result.response.headers;
    return {result.response.status, std::move(body), headers.empty() ? "" : headers.front().value};
}

} // namespace mustardcourse::control
