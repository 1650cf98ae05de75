#pragma once

#include <mustardcourse/http/reader.h>
#include <mustardcourse/net/stream.h>

#include <functional>
#include <memory>
#include <unordered_set>

namespace mustardcourse::http {

/** A response to a caller. Length and connection headers are added when it is sent. */
struct reply
{
    int status = 0;
    std::string reason;
    header_fields headers;
    std::string body;
    /** Whether the length may be stated; else the end of the connection ends the body. */
    bool isLengthKnown = true;
};

/** Limits that callers have to keep. */
struct caller_limits
{
    message_limits message{};
    /** Time from the first byte of a request to its last. */
    duration readTimeout = std::chrono::seconds(10);
    /** Time that a connection may be idle between requests. */
    duration idleTimeout = std::chrono::seconds(60);
};

class caller_connection;

/**
    One request of a caller, from its last byte to its response.

    Whoever answers it holds it; destroying it unanswered closes the connection.
*/
class caller_exchange
{
public:
    caller_exchange(caller_connection &connection, request receivedRequest, time_point arrival,
                    bool isFirst);
    ~caller_exchange();
    caller_exchange(const caller_exchange &) = delete;
    caller_exchange &operator=(const caller_exchange &) = delete;

    [[nodiscard]] const request &receivedRequest() const noexcept { return m_request; }
    [[nodiscard]] time_point arrival() const noexcept { return m_arrival; }

    /** Returns whether the connection was opened for this request. */
    [[nodiscard]] bool isFirstOnConnection() const noexcept { return m_isFirst; }

    /** Sets what is called once if the caller leaves before the response. */
    void onDisconnect(std::function<void()> handler) { m_onGone = std::move(handler); }

    /** Sends the response, unless the caller has left. It is called at most once. */
    void respond(const reply &answer);

private:
    friend class caller_connection;

    caller_connection *m_connection;
    request m_request;
    time_point m_arrival;
    bool m_isFirst;
    std::function<void()> m_onGone;
};

/**
    Accepts callers' connections and reads their requests, one at a time on each connection.

    Malformed, oversized and slow requests are answered here and never reach the handler.
*/
class caller_server
{
public:
    using request_handler = std::function<void(std::unique_ptr<caller_exchange>)>;

    /** @throws listen_error if the address cannot be listened on */
    caller_server(net::loop &loop, const clock &clock, const endpoint &address,
                  request_handler handler);
    ~caller_server();
    caller_server(const caller_server &) = delete;
    caller_server &operator=(const caller_server &) = delete;

    /** Sets the limits of requests that begin from now on. */
    void setLimits(const caller_limits &limits) { m_limits = limits; }

    /** Says in every response from now on that the connection closes behind it. */
    void closeAfterResponses() noexcept { m_isClosing = true; }

    /** Refuses new connections from now on. */
    void stopAccepting() { m_listener.reset(); }

    /** Closes the connections on which no request has been under way for a time. */
    void closeIdleConnections(duration idleTimeout);

    /** Returns the requests that have begun and are not answered yet. */
    [[nodiscard]] std::size_t pendingCount() const noexcept;
    [[nodiscard]] std::size_t connectionCount() const noexcept { return m_connections.size(); }

private:
    friend class caller_connection;

    net::loop &m_loop;
    const clock &m_clock;
    request_handler m_handler;
    caller_limits m_limits;
    bool m_isClosing = false;
    std::unordered_set<caller_connection *> m_connections;
    std::optional<net::listener> m_listener;
};

} // namespace mustardcourse::http
