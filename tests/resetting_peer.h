#pragma once

#include "blocking_connection.h"

#include <poll.h>

#include <string_view>

namespace mustardcourse::tests {

/** How a peer ends a connection. */
enum class peer_end {
    /** It closes its side and keeps reading. */
    Close,
    /** It resets the connection. */
    Reset,
    /** It closes its side, and resets the connection afterwards. */
    CloseThenReset,
};

/** A listening peer whose kernel accepts connections. What it sends and how it ends a connection
    arrives before the event loop under test runs again. */
class resetting_peer
{
public:
    explicit resetting_peer(std::uint16_t port)
        : m_listening(listeningSocket(port))
    { }
    ~resetting_peer()
    {
        closeConnection();
        ::close(m_listening);
    }
    resetting_peer(const resetting_peer &) = delete;
    resetting_peer &operator=(const resetting_peer &) = delete;

    /** Accepts a connection if one waits, and returns whether there is one now. */
    bool tryAccept()
    {
        if (m_connection < 0 && isReadable(m_listening))
            m_connection = ::accept(m_listening, nullptr, nullptr);
        return m_connection >= 0;
    }

    /** Reads what has arrived on the accepted connection, and returns whether there was any. */
    bool tryReceive()
    {
        if (!tryAccept() || !isReadable(m_connection))
            return false;
        char buffer[4096];
        return ::recv(m_connection, buffer, sizeof(buffer), 0) > 0;
    }

    /** Sends bytes, which have to fit the buffers of the kernel, and ends the connection. */
    void sendAndEnd(std::string_view bytes, peer_end end)
    {
        REQUIRE(m_connection >= 0);
        REQUIRE(::send(m_connection, bytes.data(), bytes.size(), MSG_DONTWAIT)
                == static_cast<ssize_t>(bytes.size()));
        if (end != peer_end::Reset)
            ::shutdown(m_connection, SHUT_WR);
        if (end == peer_end::Close)
            return;
        const linger immediately{1, 0};
        ::setsockopt(m_connection, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
        closeConnection();
    }

    /** Closes the accepted connection, so that the next one can be accepted. */
    void closeConnection()
    {
        if (m_connection >= 0)
            ::close(m_connection);
        m_connection = -1;
    }

private:
    static bool isReadable(int descriptor)
    {
        pollfd polled{descriptor, POLLIN, 0};
        return ::poll(&polled, 1, 0) == 1;
    }

    int m_listening;
    int m_connection = -1;
};

} // namespace mustardcourse::tests
