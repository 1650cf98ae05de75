#pragma once

#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/net/loop.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mustardcourse::net {

/** Why a stream ended. */
enum class stream_end_reason {
    /** The connection attempt was refused, reset or timed out. */
    NotConnected,
    /** The peer closed its side of the connection in an orderly way, and all of its data was read.
     */
    PeerClosed,
    /** The peer reset the connection, so data of it may be missing, or writing failed. */
    Broken,
    /** The connection timed out, as the peer acknowledged neither bytes nor probes. */
    TimedOut,
};

/** Returns the lower-case name of a reason for log lines. */
std::string_view nameOf(stream_end_reason reason);

/** Receives the events of a stream. */
class stream_handler
{
public:
    virtual ~stream_handler() = default;

    /** The outgoing connection is established. */
    virtual void onConnected() { }

    /** Data has arrived; the view is valid only during the call. */
    virtual void onData(std::string_view data) = 0;

    /** All data has been handed to the kernel after stream::finish(). */
    virtual void onSent() { }

    /** The stream has ended. No further calls follow, and the handler may destroy the stream. */
    virtual void onEnd(stream_end_reason reason) = 0;
};

/** Timeouts after which a connection to an unresponsive peer counts as broken. */
struct stream_timeouts
{
    /** Maximum time that sent bytes may remain unacknowledged. */
    std::chrono::milliseconds acknowledgementTimeout{2000};
    /** Idle time before the first keep-alive probe; zero disables the probes. */
    std::chrono::seconds keepAliveIdleTime{0};
};

/** A TCP connection. Destroying it closes the connection immediately; with a reset if there is
   unsent data, so that a peer which reads until the end notices that it is truncated. */
class stream
{
public:
    /** Connects to an address. The handler is notified of the result, never from within this call.
     */
    static std::unique_ptr<stream> dial(loop &loop, const endpoint &peer, stream_handler &handler,
                                        const stream_timeouts &timeouts = {});

    ~stream();
    stream(const stream &) = delete;
    stream &operator=(const stream &) = delete;

    /** Sets the handler, and starts reading if a listener accepted the connection. */
    void setHandler(stream_handler &handler) noexcept;

    /** Returns the earliest time at which the data of the current stream_handler::onData() can have
        arrived. */
    [[nodiscard]] time_point earliestArrival() const noexcept;

    /** Sends data, and queues what the kernel does not accept yet. */
    void write(std::string data);

    /** Returns the number of queued bytes that the kernel has not accepted yet. */
    [[nodiscard]] std::size_t unsentBytes() const noexcept;

    /** Sends the queued data and shuts down the sending side. onSent() follows, and onEnd() when
       the peer closes its side. */
    void finish();

private:
    friend class listener;
    struct implementation;
    explicit stream(implementation *connection) noexcept;
    implementation *m_implementation;
};

/** Accepts connections on an address. */
class listener
{
public:
    using accept_handler = std::function<void(std::unique_ptr<stream>)>;

    /** @throws listen_error if the address cannot be listened on */
    listener(loop &loop, const endpoint &address, accept_handler handler);
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    /** Accepts the connections that wait in the queue of the kernel, which destroying the listener
        would reset. */
    void acceptQueued();

private:
    struct implementation;
    implementation *m_implementation;
};

} // namespace mustardcourse::net
