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
    /** A whole response to this request arrived. */
    Answered,
    /** The peer was not reached, so no byte of the request can have arrived. */
    NotSent,
    /** The request may have arrived, and no whole response came back. */
    Lost,
};

/** The end of an exchange. */
struct exchange_result
{
    exchange_end end = exchange_end::NotSent;
    response answer;
    /** Whether the connection had served another exchange before. */
    bool wasConnectionReused = false;
};

/** Names one exchange of a pool. */
using exchange_id = std::uint64_t;

/** One request to send. */
struct exchange_request
{
    std::string bytes;
    /** Whether a response may belong to this request; others are dropped. Empty: any may. */
    std::function<bool(const response &)> matchesRequest;
    std::function<void(exchange_result &&)> onEnd;
    /** The longest time that a kept connection may have been idle; a fresh one is dialled else. */
    duration maximumIdleTime = std::chrono::hours(1);
    bool isBodyExpected = true;
};

/** Limits of a pool. */
struct client_pool_settings
{
    std::size_t maximumConnections = 1;
    message_limits responseLimits{};
    net::stream_timeouts timeouts{};
};

/**
    The connections to one address. Each carries one exchange at a time.

    A connection on which anything unexpected arrives is closed and not used again.
*/
class client_pool
{
public:
    client_pool(net::loop &loop, const clock &clock, endpoint peer, client_pool_settings settings);
    ~client_pool();
    client_pool(const client_pool &) = delete;
    client_pool &operator=(const client_pool &) = delete;

    /** Returns whether a request would be sent on a kept connection. */
    [[nodiscard]] bool hasIdleConnection() const
    {
        return idleConnection(std::chrono::hours(1)) != nullptr;
    }

    /** Returns whether a request can be sent now, on a kept or a new connection. */
    [[nodiscard]] bool hasCapacity() const;

    /** Sends a request. The end is told later, never from within this call. */
    exchange_id send(exchange_request request);

    /** Closes the connection of an exchange, which then tells no end. */
    void cancel(exchange_id exchange);

    /** Sets how many connections may be open from now on. */
    void setMaximumConnections(std::size_t count) noexcept;

    /** Closes the connections that have carried no exchange for a time. */
    void closeIdleConnections(duration idleTime = duration::zero());

    [[nodiscard]] const endpoint &peer() const noexcept { return m_peer; }
    [[nodiscard]] std::size_t openConnectionCount() const noexcept;
    [[nodiscard]] std::size_t busyConnectionCount() const noexcept;
    [[nodiscard]] std::uint64_t dialCount() const noexcept { return m_dials; }

private:
    class connection;

    [[nodiscard]] connection *idleConnection(duration maximumIdleTime) const;
    void remove(const connection &closed);

    net::loop &m_loop;
    const clock &m_clock;
    endpoint m_peer;
    client_pool_settings m_settings;
    std::vector<std::unique_ptr<connection>> m_connections;
    exchange_id m_lastExchange = 0;
    std::uint64_t m_dials = 0;
    /** Idle time after which the peer is known to close; learned from its closes and responses. */
    duration m_idleLimit = std::chrono::hours(1);
};

} // namespace mustardcourse::http
