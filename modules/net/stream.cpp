#include <mustardcourse/net/stream.h>

#include <mustardcourse/core/errors.h>

#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <cerrno>

namespace mustardcourse::net {

namespace {

/** Maximum number of connections that wait to be accepted. */
constexpr int acceptBacklog = 512;
/** Number of unanswered keep-alive probes, sent a second apart, that make a connection broken. */
constexpr int maximumUnansweredProbes = 2;

/** Returns why a connection ended with this error of libuv. */
stream_end_reason reasonOf(ssize_t error)
{
    switch (error) {
    case UV_ETIMEDOUT:
    case UV_EHOSTUNREACH:
        return stream_end_reason::TimedOut;
    default:
        return stream_end_reason::Broken;
    }
}

sockaddr_in socketAddress(const endpoint &address)
{
    sockaddr_in result{};
    uv_ip4_addr(address.address().c_str(), address.port(), &result);
    return result;
}

} // namespace

std::string_view nameOf(stream_end_reason reason)
{
    switch (reason) {
    case stream_end_reason::NotConnected:
        return "not-connected";
    case stream_end_reason::PeerClosed:
        return "closed";
    case stream_end_reason::Broken:
        return "reset";
    case stream_end_reason::TimedOut:
        return "timed-out";
    }
    return "unknown";
}

struct stream::implementation
{
    uv_tcp_t tcp{};
    uv_connect_t connectRequest{};
    uv_shutdown_t shutdownRequest{};
    loop *owner = nullptr;
    stream_handler *handler = nullptr;
    bool isConnected = false;
    bool isFinishing = false;
    /** Whether the kernel has reported an error to a write, as it reports each error only once. */
    bool hasWriteFailed = false;
    watch_begin reading;
    time_point earliestArrival;

    uv_stream_t *asStream() { return reinterpret_cast<uv_stream_t *>(&tcp); }
    static implementation &of(uv_handle_t *handle)
    {
        return *static_cast<implementation *>(handle->data);
    }
    static implementation &of(uv_stream_t *handle)
    {
        return *static_cast<implementation *>(handle->data);
    }

    static implementation *create(loop &loop)
    {
        auto *self = new implementation;
        self->owner = &loop;
        uv_tcp_init(loop.handle(), &self->tcp);
        self->tcp.data = self;
        return self;
    }

    void applyTimeouts(const stream_timeouts &timeouts)
    {
        uv_os_fd_t descriptor = -1;
        if (uv_fileno(reinterpret_cast<uv_handle_t *>(&tcp), &descriptor) != 0)
            return;
        const auto milliseconds = static_cast<unsigned>(timeouts.acknowledgementTimeout.count());
        setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
        if (timeouts.keepAliveIdleTime.count() == 0)
            return;
        // This value both enables keep-alive and is the interval of the probes in seconds.
        const int on = 1;
        const int idleSeconds = static_cast<int>(timeouts.keepAliveIdleTime.count());
        setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
        setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof(idleSeconds));
        setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &on, sizeof(on));
        setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &maximumUnansweredProbes,
                   sizeof(maximumUnansweredProbes));
    }

    void resetOnClose()
    {
        uv_os_fd_t descriptor = -1;
        if (uv_fileno(reinterpret_cast<uv_handle_t *>(&tcp), &descriptor) != 0)
            return;
        const linger immediately{.l_onoff = 1, .l_linger = 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    }

    void startReading()
    {
        isConnected = true;
        reading = owner->beginWatch();
        uv_tcp_nodelay(&tcp, 1);
        uv_read_start(
            asStream(),
            [](uv_handle_t *handle, std::size_t, uv_buf_t *buffer) {
                std::vector<char> &bytes = of(handle).owner->readBuffer();
                *buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
            },
            [](uv_stream_t *handle, ssize_t count, const uv_buf_t *buffer) {
                implementation &self = of(handle);
                if (count > 0)
                    self.receive({buffer->base, static_cast<std::size_t>(count)});
                else if (count == UV_EOF)
                    self.end(self.endOfDataReason());
                else if (count < 0)
                    self.end(reasonOf(count));
            });
    }

    /** Returns why no more data arrives. libuv also reports the end of the data for a connection
        that was reset or has timed out, if data arrived just before. */
    [[nodiscard]] stream_end_reason endOfDataReason() const
    {
        uv_os_fd_t descriptor = -1;
        const auto *handle = reinterpret_cast<const uv_handle_t *>(&tcp);
        if (hasWriteFailed || uv_fileno(handle, &descriptor) != 0)
            return stream_end_reason::Broken;
        char byte = 0;
        const ssize_t count = ::recv(descriptor, &byte, 1, MSG_DONTWAIT);
        if (count == 0)
            return stream_end_reason::PeerClosed;
        return count < 0 ? reasonOf(uv_translate_sys_error(errno)) : stream_end_reason::Broken;
    }

    void receive(std::string_view data)
    {
        earliestArrival = owner->earliestEventTime(reading);
        handler->onData(data);
    }

    void end(stream_end_reason reason)
    {
        if (handler == nullptr)
            return;
        uv_read_stop(asStream());
        stream_handler *currentHandler = handler;
        handler = nullptr;
        currentHandler->onEnd(reason);
    }
};

stream::stream(implementation *connection) noexcept
    : m_implementation(connection)
{ }

stream::~stream()
{
    m_implementation->handler = nullptr;
    if (unsentBytes() > 0)
        m_implementation->resetOnClose();
    uv_close(reinterpret_cast<uv_handle_t *>(&m_implementation->tcp),
             [](uv_handle_t *handle) { delete &implementation::of(handle); });
}

std::unique_ptr<stream> stream::dial(loop &loop, const endpoint &peer, stream_handler &handler,
                                     const stream_timeouts &timeouts)
{
    implementation *self = implementation::create(loop);
    self->handler = &handler;
    const sockaddr_in address = socketAddress(peer);
    self->connectRequest.data = self;
    uv_tcp_connect(&self->connectRequest, &self->tcp, reinterpret_cast<const sockaddr *>(&address),
                   [](uv_connect_t *request, int status) {
                       if (status == UV_ECANCELED)
                           return;
                       auto &connected = *static_cast<implementation *>(request->data);
                       if (status < 0)
                           return connected.end(stream_end_reason::NotConnected);
                       connected.startReading();
                       connected.handler->onConnected();
                   });
    self->applyTimeouts(timeouts);
    return std::unique_ptr<stream>(new stream(self));
}

void stream::setHandler(stream_handler &handler) noexcept
{
    m_implementation->handler = &handler;
    if (!m_implementation->isConnected)
        m_implementation->startReading();
}

time_point stream::earliestArrival() const noexcept
{
    return m_implementation->earliestArrival;
}

void stream::write(std::string data)
{
    implementation &self = *m_implementation;
    std::size_t sent = 0;
    if (uv_stream_get_write_queue_size(self.asStream()) == 0 && self.isConnected) {
        const uv_buf_t buffer = uv_buf_init(data.data(), static_cast<unsigned>(data.size()));
        const int count = uv_try_write(self.asStream(), &buffer, 1);
        sent = count > 0 ? static_cast<std::size_t>(count) : 0;
        if (count < 0 && count != UV_EAGAIN)
            self.hasWriteFailed = true;
    }
    if (sent == data.size())
        return;

    struct pending_write
    {
        uv_write_t request{};
        std::string bytes;
    };
    auto *pending = new pending_write{{}, data.substr(sent)};
    pending->request.data = pending;
    const uv_buf_t buffer =
        uv_buf_init(pending->bytes.data(), static_cast<unsigned>(pending->bytes.size()));
    uv_write(&pending->request, self.asStream(), &buffer, 1, [](uv_write_t *request, int status) {
        uv_stream_t *handle = request->handle;
        delete static_cast<pending_write *>(request->data);
        if (status < 0 && status != UV_ECANCELED)
            implementation::of(handle).end(stream_end_reason::Broken);
    });
}

std::size_t stream::unsentBytes() const noexcept
{
    return uv_stream_get_write_queue_size(m_implementation->asStream());
}

void stream::finish()
{
    implementation &self = *m_implementation;
    if (self.isFinishing)
        return;
    self.isFinishing = true;
    uv_shutdown(&self.shutdownRequest, self.asStream(), [](uv_shutdown_t *request, int status) {
        stream_handler *handler = implementation::of(request->handle).handler;
        if (status == 0 && handler != nullptr)
            handler->onSent();
    });
}

struct listener::implementation
{
    uv_tcp_t tcp{};
    loop *owner = nullptr;
    accept_handler handler;

    uv_stream_t *asStream() { return reinterpret_cast<uv_stream_t *>(&tcp); }

    /** Accepts the connection that libuv has taken from the queue of the kernel. */
    void acceptNext()
    {
        auto *peer = stream::implementation::create(*owner);
        std::unique_ptr<stream> acceptedStream(new stream(peer));
        if (uv_accept(asStream(), peer->asStream()) == 0)
            handOver(std::move(acceptedStream));
    }

    /** Accepts all connections that wait in the queue of the kernel. */
    void acceptQueued()
    {
        uv_os_fd_t listening = -1;
        if (uv_fileno(reinterpret_cast<uv_handle_t *>(&tcp), &listening) != 0)
            return;
        int descriptor = -1;
        while ((descriptor = ::accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC))
               >= 0) {
            auto *peer = stream::implementation::create(*owner);
            std::unique_ptr<stream> acceptedStream(new stream(peer));
            if (uv_tcp_open(&peer->tcp, descriptor) == 0)
                handOver(std::move(acceptedStream));
            else
                ::close(descriptor);
        }
    }

private:
    void handOver(std::unique_ptr<stream> acceptedStream) const
    {
        acceptedStream->m_implementation->applyTimeouts({});
        handler(std::move(acceptedStream));
    }
};

listener::listener(loop &loop, const endpoint &address, accept_handler handler)
    : m_implementation(new implementation)
{
    implementation &self = *m_implementation;
    self.owner = &loop;
    self.handler = std::move(handler);
    uv_tcp_init(loop.handle(), &self.tcp);
    self.tcp.data = &self;
    const sockaddr_in local = socketAddress(address);
    int status = uv_tcp_bind(&self.tcp, reinterpret_cast<const sockaddr *>(&local), 0);
    if (status == 0)
        status = uv_listen(self.asStream(), acceptBacklog, [](uv_stream_t *server, int failure) {
            if (failure < 0)
                return;
            static_cast<implementation *>(server->data)->acceptNext();
        });
    if (status == 0)
        return;
    uv_close(reinterpret_cast<uv_handle_t *>(&self.tcp),
             [](uv_handle_t *handle) { delete static_cast<implementation *>(handle->data); });
    throw listen_error(
        fmt::format("cannot listen on {}: {}", address.toString(), uv_strerror(status)));
}

void listener::acceptQueued()
{
    m_implementation->acceptQueued();
}

listener::~listener()
{
    uv_close(reinterpret_cast<uv_handle_t *>(&m_implementation->tcp),
             [](uv_handle_t *handle) { delete static_cast<implementation *>(handle->data); });
}

} // namespace mustardcourse::net
