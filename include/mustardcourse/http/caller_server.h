#pragma once

#include <mustardcourse/http/reader.h>
#include <mustardcourse/net/stream.h>

#include <functional>
#include <memory>
#include <unordered_set>

namespace mustardcourse::http {

/** A response to a caller. Content-Length and Connection are added when it is sent. */
struct reply
{
    int status = 0;
    std::string reason;
    header_fields headers;
    std::string body;
    /** Whether Content-Length is sent; if not, closing the connection delimits the body. */
    bool isLengthKnown = true;
};

/** Limits on callers' requests and connections. */
struct caller_limits
{
    message_limits message{};
    /** Maximum time from the first byte of a request to its last. */
    duration readTimeout = std::chrono::seconds(10);
    /** Maximum time that a connection may be idle between requests. */
    duration idleTimeout = std::chrono::seconds(60);
};

class caller_connection;

/** Earliest times at which the first and the last byte of a request can have arrived, even if the
    process was too busy to read them then. */
struct request_times
{
    time_point firstByte;
    time_point lastByte;
};

/**
    A caller's request that has been read completely, until it is answered.

    The request handler owns it; destroying it without a response closes the connection.
*/
class caller_exchange
{
public:
    caller_exchange(caller_connection &connection, request receivedRequest,
                    const request_times &times, bool isFirstRequest);
    ~caller_exchange();
    caller_exchange(const caller_exchange &) = delete;
    caller_exchange &operator=(const caller_exchange &) = delete;

    [[nodiscard]] const request &receivedRequest() const noexcept { return m_request; }

    /** Returns when the first byte of the request arrived, from which the caller's deadline counts.
     */
    [[nodiscard]] time_point begin() const noexcept { return m_times.firstByte; }

    /** Returns when the request had arrived completely. */
    [[nodiscard]] time_point arrival() const noexcept { return m_times.lastByte; }

    /** Returns whether this is the first request on its connection. */
    [[nodiscard]] bool isFirstOnConnection() const noexcept { return m_isFirstRequest; }

    /** Sets a handler that is called once if the caller disconnects before the response. */
    void onDisconnect(std::function<void()> handler) { m_onDisconnect = std::move(handler); }

    /** Sends an interim response (status 1xx), unless the caller has disconnected. */
    void sendInterim(int status, const header_fields &headers);

    /** Sends the response, unless the caller has disconnected. Call it at most once. */
    void respond(const reply &answer);

private:
    friend class caller_connection;

    caller_connection *m_connection;
    request m_request;
    request_times m_times;
    bool m_isFirstRequest;
    std::function<void()> m_onDisconnect;
};

/**
    Accepts callers' connections and reads their requests, one at a time on each connection.

    Malformed, oversized and slow requests are rejected with an error status and never reach the
    handler.
*/
class caller_server
{
public:
    using request_handler = std::function<void(std::unique_ptr<caller_exchange>)>;

    /** @param memory  limits the memory of the requests that are being read; null for none
        @throws listen_error if the address cannot be listened on */
    caller_server(net::loop &loop, const clock &clock, const endpoint &address,
                  request_handler handler, receive_memory *memory = nullptr);
    ~caller_server();
    caller_server(const caller_server &) = delete;
    caller_server &operator=(const caller_server &) = delete;

    /** Sets a handler for requests that are rejected without reaching the request handler; it is
        called with the status of the response. */
    void onRejection(std::function<void(int)> handler) { m_onRejection = std::move(handler); }

    /** Sets the limits, for open connections too: of requests whose first byte is read from now on,
        and of the time that a connection may be idle. A connection that is idle already keeps its
        former time if that is longer, as its caller may still use it. */
    void setLimits(const caller_limits &limits);

    /** From now on, sends every response with "Connection: close" and closes its connection. */
    void closeAfterResponses() noexcept { m_isClosingAfterResponses = true; }

    /** Accepts the connections that wait for it and no further ones. */
    void stopAccepting();

    /** Closes the connections that have been idle for at least this time. */
    void closeIdleConnections(duration minimumIdleTime);

    /** Returns the number of requests that the handler has received and not answered yet. */
    [[nodiscard]] std::size_t pendingCount() const noexcept;
    [[nodiscard]] std::size_t connectionCount() const noexcept { return m_connections.size(); }

private:
    friend class caller_connection;

    net::loop &m_loop;
    const clock &m_clock;
    request_handler m_handler;
    std::function<void(int)> m_onRejection;
    caller_limits m_limits;
    receive_memory *m_memory;
    bool m_isClosingAfterResponses = false;
    std::unordered_set<caller_connection *> m_connections;
    std::optional<net::listener> m_listener;
};

} // namespace mustardcourse::http
