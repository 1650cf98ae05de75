#pragma once

#include <mustardcourse/http/reader.h>
#include <mustardcourse/net/stream.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace mustardcourse::http {

/** How an exchange ended. */
enum class exchange_end {
    /** A complete response to this request arrived. */
    Answered,
    /** No connection was established, so the peer cannot have received any of the request. */
    NotSent,
    /** The peer may have received the request, but no complete response arrived. */
    Lost,
    /** The peer has received the request, and its response exceeds the limits of the pool. */
    Oversized,
};

/** The result of an exchange. */
struct exchange_result
{
    exchange_end end = exchange_end::NotSent;
    response answer;
    /** Whether the connection had carried an earlier exchange. */
    bool wasConnectionReused = false;
    /** Whether the peer ended the connection before it sent any of a response. */
    bool hasPeerLeft = false;
    /** Time for which the exchange waited until a new connection was established; zero if the
        connection was reused. */
    duration connectionTime{0};
    /** Why the connection ended, if the exchange ended with it. */
    std::optional<net::stream_end_reason> connectionEnd{};
};

/** Identifies an exchange within its pool. */
using exchange_id = std::uint64_t;

/** A request to send. */
struct exchange_request
{
    std::string bytes;
    /** If set, returns the bytes to send instead. It is called when the connection is established,
        so that times in the request are current. */
    std::function<std::string()> format{};
    /** Returns whether a response belongs to this request; others are discarded. If it is empty,
        every response belongs. */
    std::function<bool(const response &)> matchesRequest;
    std::function<void(exchange_result &&)> onEnd;
    /** If set, called with each interim response. It must not cancel the exchange. */
    std::function<void(const response &)> onInterim{};
    /** A connection is reused only if it has been idle for at most this time; otherwise a new one
        is opened. */
    duration maximumIdleTime = std::chrono::hours(1);
    bool isResponseBodyExpected = true;
};

/** Limits and timeouts of a pool. */
struct client_pool_settings
{
    std::size_t maximumConnections = 1;
    message_limits responseLimits{};
    /** Limits the memory of all responses that are being read, of this and other pools; null for
        none. It must outlive the pool. */
    receive_memory *memory = nullptr;
    net::stream_timeouts timeouts{};
};

/**
    A pool of connections to one address. Each carries one exchange at a time.

    A connection on which unexpected data arrives is closed and not reused.
*/
class client_pool
{
public:
    client_pool(net::loop &loop, const clock &clock, endpoint peer, client_pool_settings settings);
    ~client_pool();
    client_pool(const client_pool &) = delete;
    client_pool &operator=(const client_pool &) = delete;

    /** Returns whether an idle connection can be reused for a request. */
    [[nodiscard]] bool hasIdleConnection() const
    {
        return idleConnection(std::chrono::hours(1)) != nullptr;
    }

    /** Returns whether a request can be sent now, on an idle or a new connection. */
    [[nodiscard]] bool hasCapacity() const;

    /** Sends a request. Its onEnd() is called later, never from within this call. */
    exchange_id send(exchange_request request);

    /** Closes the connection of an exchange, whose onEnd() is then not called. */
    void cancel(exchange_id exchange);

    /** Sets the maximum number of connections. Those that are open stay open. */
    void setMaximumConnections(std::size_t count) noexcept;

    /** Closes the connections that have been idle for at least this time. */
    void closeIdleConnections(duration minimumIdleTime = duration::zero());

    [[nodiscard]] const endpoint &peer() const noexcept { return m_peer; }
    [[nodiscard]] std::size_t openConnectionCount() const noexcept;
    [[nodiscard]] std::size_t busyConnectionCount() const noexcept;
    [[nodiscard]] std::uint64_t dialCount() const noexcept { return m_dialCount; }

private:
    class connection;

    [[nodiscard]] connection *idleConnection(duration maximumIdleTime) const;
    void remove(const connection &closedConnection);

    net::loop &m_loop;
    const clock &m_clock;
    endpoint m_peer;
    client_pool_settings m_settings;
    std::vector<std::unique_ptr<connection>> m_connections;
    exchange_id m_lastExchangeId = 0;
    std::uint64_t m_dialCount = 0;
    /** Idle time after which the peer closes a connection, learned from its earlier closes and its
        Keep-Alive fields. */
    duration m_peerIdleTimeout = std::chrono::hours(1);
};

} // namespace mustardcourse::http
