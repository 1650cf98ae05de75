#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/core/errors.h>

#include <arpa/inet.h>
#include <fmt/format.h>

#include <cassert>
#include <charconv>

namespace mustardcourse {

malformed_endpoint_error::malformed_endpoint_error(const std::string &text)
    : error(fmt::format("'{}' is not an IPv4 address and a port from 1 to 65535", text))
{ }

endpoint::endpoint(std::string address, std::uint16_t port)
    : m_address(std::move(address))
    , m_port(port)
{
    assert(port != 0);
}

endpoint endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        throw malformed_endpoint_error(std::string(text));

    const std::string address(text.substr(0, colon));
    const std::string_view portText = text.substr(colon + 1);
    in_addr binaryAddress{};
    if (inet_pton(AF_INET, address.c_str(), &binaryAddress) != 1)
        throw malformed_endpoint_error(std::string(text));

    std::uint16_t port = 0;
    const char *end = portText.data() + portText.size();
    const auto [stop, status] = std::from_chars(portText.data(), end, port);
    if (status != std::errc() || stop != end || port == 0)
        throw malformed_endpoint_error(std::string(text));

    return {address, port};
}

std::string endpoint::toString() const
{
    return fmt::format("{}:{}", m_address, m_port);
}

} // namespace mustardcourse
