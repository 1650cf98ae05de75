#pragma once

#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/wire/event_loop.h>
#include <mustardcourse/wire/http_message.h>

#include <concepts>
#include <memory>

namespace mustardcourse::wire {

/**
    Type that handles HTTP requests.

    The server drops the returned promise when the client closes its connection, which cancels the
    handler's work. To avoid that, a handler keeps a forked promise and returns a branch of it.
*/
template <typename Handler>
concept http_handler = requires(Handler handler, http_request request)
{
    {
        handler.handle(std::move(request))
        } -> std::same_as<kj::Promise<http_response>>;
};

/** Limits of an HTTP server. */
struct http_server_limits
{
    std::size_t maximumBodyBytes = 256 * 1024;
    std::size_t maximumConnections = 4096;
    std::chrono::seconds requestReadTimeout{5};
};

/**
    Base class of http_server, independent of the type of the handler. Use http_server instead.
*/
class http_server_base
{
public:
    http_server_base(const http_server_base &) = delete;
    http_server_base &operator=(const http_server_base &) = delete;

    /** Returns the number of requests whose responses have not been sent. */
    [[nodiscard]] std::size_t pendingCount() const noexcept;

    /** Returns the number of open connections. */
    [[nodiscard]] std::size_t connectionCount() const noexcept;

    /** Makes every connection close after its next response is sent. */
    void closeAfterResponses() noexcept;

    /**
        Closes every connection immediately, without responses. Use it to simulate a crash.

        A handler must not call it before it has returned its promise, since the call cancels the
        handler's own work.
    */
    void abortConnections();

    struct implementation;

protected:
    http_server_base(event_loop &loop, const endpoint &listenAddress,
                     const http_server_limits &limits);
    virtual ~http_server_base();

    virtual kj::Promise<http_response> dispatch(http_request request) = 0;

private:
    friend struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/**
    HTTP/1.1 server that passes each complete request to a handler.

    Requests that are malformed, exceed the limits or arrive too slowly are not passed to the
    handler.

    The concept constrains the constructor and not the class, since a handler that owns its server
    is still an incomplete type where it names this class.

    @throws listen_error on construction, if the address is in use
*/
template <typename Handler>
class http_server final : public http_server_base
{
public:
    http_server(event_loop &loop, const endpoint &listenAddress, Handler &handler,
                const http_server_limits &limits = {}) requires http_handler<Handler>
        : http_server_base(loop, listenAddress, limits), m_handler(handler)
    { }

protected:
    kj::Promise<http_response> dispatch(http_request request) override
    {
        return m_handler.handle(std::move(request));
    }

private:
    Handler &m_handler;
};

} // namespace mustardcourse::wire
