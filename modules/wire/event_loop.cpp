#include <mustardcourse/core/errors.h>
#include <mustardcourse/wire/event_loop.h>

#include <arpa/inet.h>
#include <kj/async-unix.h>
#include <libwebsockets.h>
#include <poll.h>
#include <uv.h>

#include <csignal>
#include <deque>

namespace mustardcourse::wire {

namespace {

/** Time after which libwebsockets no longer holds a pointer to a retired object. */
constexpr std::chrono::seconds retirementPeriod{60};

struct retired_object
{
    time_point retiredAt;
    std::shared_ptr<void> object;
};

} // namespace

struct event_loop::implementation
{
    implementation();
    ~implementation();

    kj::Promise<void> iterate();
    void runUv();
    [[nodiscard]] bool isUvReady() const;
    kj::Promise<void> whenWoken();

    kj::AsyncIoContext io;
    uv_loop_t uv{};
    lws_context *context = nullptr;
    kj::Own<kj::UnixEventPort::FdObserver> observer;
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> wakeFulfiller;
    bool isWakePending = false;
    std::deque<retired_object> retiredObjects;
    kj::Promise<void> loopTask = nullptr;

private:
    static int initialiseUv(uv_loop_t &loop);
};

int event_loop::implementation::initialiseUv(uv_loop_t &loop)
{
    uv_loop_init(&loop);
    return uv_backend_fd(&loop);
}

event_loop::implementation::implementation()
    : io(kj::setupAsyncIo())
    , observer(kj::heap<kj::UnixEventPort::FdObserver>(io.unixEventPort, initialiseUv(uv),
                                                       kj::UnixEventPort::FdObserver::OBSERVE_READ))
{
    std::signal(SIGPIPE, SIG_IGN);
    lws_set_log_level(LLL_ERR, [](int, const char *) {});
    lws_context_creation_info info{};
    void *foreignLoops[] = {&uv};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_LIBUV | LWS_SERVER_OPTION_EXPLICIT_VHOSTS
        | LWS_SERVER_OPTION_UV_NO_SIGSEGV_SIGFPE_SPIN;
    info.foreign_loops = foreignLoops;
    info.pt_serv_buf_size = 32 * 1024;
    context = lws_create_context(&info);
    if (context == nullptr)
        throw listen_error("libwebsockets cannot create its context");
    loopTask = iterate().eagerlyEvaluate([](const kj::Exception &) {});
}

event_loop::implementation::~implementation()
{
    constexpr int closingIterations = 32;

    loopTask = nullptr;
    // The observer's destructor unregisters libuv's descriptor from KJ's event port, which must
    // happen before libuv closes the descriptor.
    observer = nullptr;
    // On a foreign loop the first call starts to close the handles, which takes some iterations of
    // the loop, and the second call frees the context.
    for (int call = 0; call < 2; ++call) {
        lws_context_destroy(context);
        for (int i = 0; i < closingIterations; ++i)
            uv_run(&uv, UV_RUN_NOWAIT);
    }
    uv_loop_close(&uv);
}

bool event_loop::implementation::isUvReady() const
{
    pollfd descriptor{uv_backend_fd(&uv), POLLIN, 0};
    return ::poll(&descriptor, 1, 0) > 0;
}

void event_loop::implementation::runUv()
{
    uv_run(&uv, UV_RUN_NOWAIT);
}

kj::Promise<void> event_loop::implementation::whenWoken()
{
    if (isWakePending) {
        isWakePending = false;
        return kj::evalLater([] {});
    }
    auto pair = kj::newPromiseAndFulfiller<void>();
    wakeFulfiller = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
}

kj::Promise<void> event_loop::implementation::iterate()
{
    runUv();
    // KJ's observer is edge-triggered, so input that libwebsockets left unread needs another
    // iteration. The zero delay lets KJ poll its own descriptors and timers in between.
    if (isUvReady())
        return io.provider->getTimer().afterDelay(0 * kj::SECONDS).then([this] {
            return iterate();
        });

    kj::Promise<void> next = observer->whenBecomesReadable().exclusiveJoin(whenWoken());
    const int timeoutMilliseconds = uv_backend_timeout(&uv);
    if (timeoutMilliseconds >= 0) {
        const kj::Duration delay = timeoutMilliseconds * kj::MILLISECONDS;
        next = next.exclusiveJoin(io.provider->getTimer().afterDelay(delay));
    }
    return next.then([this] { return iterate(); });
}

event_loop::event_loop()
    : m_implementation(std::make_unique<implementation>())
{ }

event_loop::~event_loop() = default;

kj::AsyncIoContext &event_loop::io() noexcept
{
    return m_implementation->io;
}

kj::Timer &event_loop::timer() noexcept
{
    return m_implementation->io.provider->getTimer();
}

lws_context *event_loop::lwsContext() const noexcept
{
    return m_implementation->context;
}

void event_loop::wake()
{
    KJ_IF_MAYBE (fulfiller, m_implementation->wakeFulfiller) {
        (*fulfiller)->fulfill();
        m_implementation->wakeFulfiller = nullptr;
        return;
    }
    m_implementation->isWakePending = true;
}

void event_loop::retire(std::shared_ptr<void> object)
{
    auto &retiredObjects = m_implementation->retiredObjects;
    const time_point now = std::chrono::steady_clock::now();
    while (!retiredObjects.empty() && now - retiredObjects.front().retiredAt > retirementPeriod)
        retiredObjects.pop_front();
    retiredObjects.push_back({now, std::move(object)});
}

kj::Own<kj::NetworkAddress> event_loop::networkAddress(const endpoint &address)
{
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(address.port());
    inet_pton(AF_INET, address.address().c_str(), &socketAddress.sin_addr);
    return io().provider->getNetwork().getSockaddr(&socketAddress, sizeof(socketAddress));
}

kj::Promise<void> event_loop::sleep(duration interval)
{
    return timer().afterDelay(toKj(interval));
}

} // namespace mustardcourse::wire
