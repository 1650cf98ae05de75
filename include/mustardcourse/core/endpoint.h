#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace mustardcourse {

/**
    An IPv4 address and a TCP port.

    Hosts and targets are addressed by IP address only, so that no names are resolved.
*/
class endpoint
{
public:
    endpoint() = default;
    endpoint(std::string address, std::uint16_t port);

    /**
        Parses "address:port".

        @throws malformed_endpoint_error unless the text is an IPv4 address and a port, 1 to 65535
    */
    static endpoint parse(std::string_view text);

    [[nodiscard]] const std::string &address() const noexcept { return m_address; }
    [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }

    /** Returns "address:port". */
    [[nodiscard]] std::string toString() const;

    friend auto operator<=>(const endpoint &, const endpoint &) = default;

private:
    std::string m_address;
    std::uint16_t m_port = 0;
};

} // namespace mustardcourse
