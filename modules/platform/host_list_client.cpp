#include <mustardcourse/core/errors.h>
#include <mustardcourse/platform/host_list_client.h>

#include <nlohmann/json.hpp>

namespace mustardcourse::platform {

namespace {

using nlohmann::json;

std::optional<std::vector<listed_host>> parseList(const std::string &text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("hosts"))
        return std::nullopt;
    std::vector<listed_host> hosts;
    for (const json &entry : body["hosts"]) {
        try {
            hosts.push_back(
                {host_id(entry.value("host", "")), data_centre_id(entry.value("data_centre", "")),
                 endpoint::parse(entry.value("peer", "")), entry.value("leaving", false)});
        } catch (const malformed_endpoint_error &) {
            // Skips an invalid entry, as the others are still usable.
            continue;
        }
    }
    return hosts;
}

} // namespace

host_list_client::host_list_client(wire::event_loop &loop, const endpoint &server, duration timeout)
    : m_connection(loop, server)
    , m_timeout(timeout)
{ }

kj::Promise<std::optional<std::vector<listed_host>>> host_list_client::fetch()
{
    wire::outgoing_request request;
    request.path = "/v1/hosts";
    request.timeout = m_timeout;
    return m_connection.exchange(std::move(request))
        .then([](wire::exchange_result &&result) -> std::optional<std::vector<listed_host>> {
            if (result.outcome != wire::exchange_outcome::Answered)
                return std::nullopt;
            return parseList(result.response.body);
        });
}

} // namespace mustardcourse::platform
