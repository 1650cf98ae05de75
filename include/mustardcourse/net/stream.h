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
    /** The connection was refused, reset or unanswered before it was established. */
    NotConnected,
    /** The peer closed its side in order. */
    PeerClosed,
    /** The connection was reset, or timed out while bytes were unacknowledged. */
    Broken,
};

/** What a stream tells its owner. */
class stream_handler
{
public:
    virtual ~stream_handler() = default;

    /** The connection that was dialled is established. */
    virtual void onConnected() { }

    /** Bytes have arrived; the view is valid during the call only. */
    virtual void onData(std::string_view data) = 0;

    /** The stream has ended. It may be destroyed from here, and calls nothing afterwards. */
    virtual void onEnd(stream_end_reason reason) = 0;
};

/** How long a peer may leave bytes unacknowledged, or an idle connection's probes unanswered. */
struct stream_timeouts
{
    std::chrono::milliseconds acknowledgementTimeout{2000};
    /** Idle time before the first probe; none if zero. */
    std::chrono::seconds keepAliveIdleTime{0};
};

/** One TCP connection. Destroying it closes the connection at once. */
class stream
{
public:
    /** Dials an address. The result is told to the handler, never from within this call. */
    static std::unique_ptr<stream> dial(loop &loop, const endpoint &peer, stream_handler &handler,
                                        const stream_timeouts &timeouts = {});

    ~stream();
    stream(const stream &) = delete;
    stream &operator=(const stream &) = delete;

    /** Sets who is told, and starts reading from a connection that a listener accepted. */
    void setHandler(stream_handler &handler) noexcept;

    /** Sends bytes, or keeps them until the peer reads. */
    void write(std::string data);

    /** Returns the bytes that the kernel has not taken yet. */
    [[nodiscard]] std::size_t unsentBytes() const noexcept;

    /** Sends what is left and the end of the stream. onEnd() follows when the peer ends too. */
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

private:
    struct implementation;
    implementation *m_implementation;
};

} // namespace mustardcourse::net
