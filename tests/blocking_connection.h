#pragma once

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace mustardcourse::tests {

/** Returns the address of a port on loopback. */
inline sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/** Returns a socket that listens on a port on loopback. The caller closes it. */
inline int listeningSocket(std::uint16_t port)
{
    constexpr int backlog = 64;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopbackAddress(port);
    const auto *genericAddress = reinterpret_cast<const sockaddr *>(&address);
    REQUIRE(::bind(descriptor, genericAddress, sizeof(address)) == 0);
    REQUIRE(::listen(descriptor, backlog) == 0);
    return descriptor;
}

/** A connection whose opening and data the kernel accepts while the peer's event loop does not run.
 */
class blocking_connection
{
public:
    explicit blocking_connection(std::uint16_t port)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const sockaddr_in address = loopbackAddress(port);
        const auto *genericAddress = reinterpret_cast<const sockaddr *>(&address);
        REQUIRE(::connect(m_descriptor, genericAddress, sizeof(address)) == 0);
    }
    ~blocking_connection() { ::close(m_descriptor); }
    blocking_connection(const blocking_connection &) = delete;
    blocking_connection &operator=(const blocking_connection &) = delete;

    void send(std::string_view bytes) const
    {
        REQUIRE(::send(m_descriptor, bytes.data(), bytes.size(), 0)
                == static_cast<ssize_t>(bytes.size()));
    }

    /** Sends what the kernel takes at once; does nothing once the peer has closed. */
    void trySend(std::string_view bytes) const
    {
        static_cast<void>(
            ::send(m_descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
    }

    /** Returns the first bytes that have arrived. */
    [[nodiscard]] std::string receive() const
    {
        std::string buffer(4096, '\0');
        const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        buffer.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        return buffer;
    }

private:
    int m_descriptor;
};

/** Accepts connections and requests in the kernel, and never reads them. */
class silent_listener
{
public:
    explicit silent_listener(std::uint16_t port)
        : m_descriptor(listeningSocket(port))
    { }
    ~silent_listener() { ::close(m_descriptor); }
    silent_listener(const silent_listener &) = delete;
    silent_listener &operator=(const silent_listener &) = delete;

private:
    int m_descriptor;
};

} // namespace mustardcourse::tests
