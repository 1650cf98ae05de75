#pragma once

#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/wire/event_loop.h>
#include <mustardcourse/wire/http_message.h>

#include <memory>

namespace mustardcourse::wire {

/** Outcome of an HTTP exchange. */
enum class exchange_outcome {
    /** A complete response was received. */
    Answered,
    /** Nothing of the request was sent. */
    NotSent,
    /** The request may have been sent, but no complete response was received. */
    Lost,
};

/** Reason why an exchange has no complete response. */
enum class exchange_failure {
    None,
    ConnectFailed,
    ConnectTimedOut,
    ResponseTimedOut,
    /** The peer ended the connection before a response was complete, or the connection was closed
        because of a response that is not valid. */
    ConnectionClosed,
    ResponseTooLarge,
};

/** Returns the name of a failure, as written to logs and metrics. */
std::string_view nameOf(exchange_failure failure);

/** Result of an HTTP exchange. */
struct exchange_result
{
    exchange_outcome outcome = exchange_outcome::NotSent;
    exchange_failure failure = exchange_failure::None;
    /** Holds the status, the body and, if present, the Retry-After header; no other headers. */
    http_response response;
    bool isConnectionReused = false;
};

/** HTTP request to send: a POST of JSON if it has a body, else a GET. */
struct outgoing_request
{
    std::string path;
    std::string body;
    std::string authorization;
    /** Time limit for the whole exchange, including connecting. */
    duration timeout = std::chrono::seconds(1);
    /** Whether the request may use a connection kept open by an earlier exchange. */
    bool isReuseAllowed = true;
};

/**
    HTTP client for one address, with at most one TCP connection and one exchange at a time.

    libwebsockets opens the connection and transfers its bytes. Responses are read by
    http::message_reader, as in the platform deployment, since the library's own client accepts
    responses that are not valid HTTP.

    An exchange that fails or is cancelled closes the connection, so that a late response is never
    taken for the response to a later request.
*/
class http_connection
{
public:
    http_connection(event_loop &loop, endpoint peer);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /**
        Sends a request and returns a promise of its result, which is never rejected.

        Dropping the promise cancels the exchange and closes the connection. The connection must
        not be busy. @see isBusy
    */
    kj::Promise<exchange_result> exchange(outgoing_request request);

    /** Returns whether an exchange is in progress. */
    [[nodiscard]] bool isBusy() const noexcept;

    /** Returns whether an idle connection is open. */
    [[nodiscard]] bool isOpen() const noexcept;

    /** Returns the number of connections that this object has tried to open. */
    [[nodiscard]] std::uint64_t dialCount() const noexcept;

    /** Closes the idle connection, if any. The connection must not be busy. */
    void close();

    struct implementation;

private:
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mustardcourse::wire
