#include "virtual_host.h"
#include "watcher_tracker.h"

#include <mustardcourse/wire/http_connection.h>

#include <fmt/format.h>
#include <libwebsockets.h>

#include <array>
#include <cassert>
#include <cstring>

namespace mustardcourse::wire {

namespace {

constexpr std::size_t maximumResponseBytes = 4 * 1024 * 1024;
constexpr std::uint16_t idleConnectionSeconds = 30;
constexpr std::size_t readBufferBytes = 16 * 1024;

} // namespace

std::string_view nameOf(exchange_failure failure)
{
    switch (failure) {
    case exchange_failure::None:
        return "none";
    case exchange_failure::ConnectFailed:
        return "connect-failed";
    case exchange_failure::ConnectTimedOut:
        return "connect-timed-out";
    case exchange_failure::ResponseTimedOut:
        return "response-timed-out";
    case exchange_failure::ConnectionClosed:
        return "connection-closed";
    case exchange_failure::ResponseTooLarge:
        return "response-too-large";
    }
    return "unknown";
}

class exchange_adapter;

struct http_connection::implementation
{
    implementation(event_loop &eventLoop, endpoint peerEndpoint);
    ~implementation();

    static int onEvent(lws *wsi, lws_callback_reasons reason, void *user, void *in,
                       std::size_t length);
    static bool requiresExchange(lws_callback_reasons reason);
    static int readBody(lws *wsi);
    [[nodiscard]] exchange_adapter *adapterOf(const lws *wsi) const noexcept;
    int onExchangeEvent(exchange_adapter &adapter, lws *wsi, lws_callback_reasons reason,
                        void *user, void *in, std::size_t length);
    void onClosed(const lws *wsi);
    void start(exchange_adapter &adapter);
    void closeConnection();

    event_loop &loop;
    endpoint peer;
    exchange_adapter *activeExchange = nullptr;
    lws *activeWsi = nullptr;
    lws *idleWsi = nullptr;
    /** The watcher of the open connection. @see watcher_tracker */
    void *watcher = nullptr;
    bool isStarting = false;
    std::uint64_t dials = 0;
    /** Declared last, since libwebsockets invokes callbacks during its construction. */
    virtual_host vhost;
};

/** Fulfils the promise of an exchange; closes the connection if the promise is dropped before. */
class exchange_adapter
{
public:
    exchange_adapter(kj::PromiseFulfiller<exchange_result> &fulfiller,
                     http_connection::implementation &connection, outgoing_request request)
        : m_fulfiller(fulfiller)
        , m_connection(connection)
        , m_request(std::move(request))
    {
        assert(connection.activeExchange == nullptr);
        if (!m_request.isReuseAllowed && connection.idleWsi != nullptr)
            connection.closeConnection();
        m_result.isConnectionReused = connection.idleWsi != nullptr;
        connection.start(*this);
    }

    ~exchange_adapter()
    {
        if (m_connection.activeExchange != this)
            return;
        m_connection.activeExchange = nullptr;
        m_connection.closeConnection();
    }

    KJ_DISALLOW_COPY(exchange_adapter);

    [[nodiscard]] const outgoing_request &request() const noexcept { return m_request; }

    [[nodiscard]] bool isSent() const noexcept { return m_isSent; }

    void startTimer(kj::Timer &timer)
    {
        m_timeout = timer.afterDelay(toKj(m_request.timeout))
                        .then([this] { onTimeout(); })
                        .eagerlyEvaluate([](const kj::Exception &) {});
    }

    void onFailed(exchange_failure failure)
    {
        m_result.failure = failure;
        m_result.outcome = m_isSent ? exchange_outcome::Lost : exchange_outcome::NotSent;
        settle();
    }

    int onAppendHeaders(lws *wsi, unsigned char **position, std::size_t availableBytes);
    int onWriteable(lws *wsi);

    void onResponseHeaders(lws *wsi);

    bool onBodyData(const char *data, std::size_t length)
    {
        if (m_result.response.body.size() + length > maximumResponseBytes)
            return false;
        m_result.response.body.append(data, length);
        return true;
    }

    void onCompleted()
    {
        m_result.outcome = exchange_outcome::Answered;
        settle();
    }

private:
    void onTimeout()
    {
        onFailed(m_isSent ? exchange_failure::ResponseTimedOut : exchange_failure::ConnectTimedOut);
        m_connection.closeConnection();
    }

    void settle()
    {
        m_connection.activeExchange = nullptr;
        m_fulfiller.fulfill(std::move(m_result));
    }

    kj::PromiseFulfiller<exchange_result> &m_fulfiller;
    http_connection::implementation &m_connection;
    outgoing_request m_request;
    exchange_result m_result;
    bool m_isSent = false;
    kj::Promise<void> m_timeout = nullptr;
};

int exchange_adapter::onAppendHeaders(lws *wsi, unsigned char **position,
                                      std::size_t availableBytes)
{
    m_isSent = true;
    unsigned char *const end = *position + availableBytes - 1;
    if (!m_request.authorization.empty()
        && lws_add_http_header_by_token(
            wsi, WSI_TOKEN_HTTP_AUTHORIZATION,
            reinterpret_cast<const unsigned char *>(m_request.authorization.data()),
            static_cast<int>(m_request.authorization.size()), position, end))
        return -1;
    if (m_request.body.empty())
        return 0;

    static constexpr char jsonContentType[] = "application/json";
    const std::string length = std::to_string(m_request.body.size());
    if (lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH,
                                     reinterpret_cast<const unsigned char *>(length.data()),
                                     static_cast<int>(length.size()), position, end))
        return -1;
    if (lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE,
                                     reinterpret_cast<const unsigned char *>(jsonContentType),
                                     sizeof(jsonContentType) - 1, position, end))
        return -1;
    lws_client_http_body_pending(wsi, 1);
    lws_callback_on_writable(wsi);
    return 0;
}

void exchange_adapter::onResponseHeaders(lws *wsi)
{
    constexpr int maximumValueBytes = 32;

    m_result.response.status = static_cast<int>(lws_http_client_http_response(wsi));
    std::array<char, maximumValueBytes> value{};
    if (lws_hdr_copy(wsi, value.data(), maximumValueBytes, WSI_TOKEN_HTTP_RETRY_AFTER) > 0)
        m_result.response.headers.push_back({"retry-after", value.data()});
}

int exchange_adapter::onWriteable(lws *wsi)
{
    if (m_request.body.empty())
        return 0;
    std::vector<unsigned char> buffer(LWS_PRE + m_request.body.size());
    std::memcpy(buffer.data() + LWS_PRE, m_request.body.data(), m_request.body.size());
    lws_client_http_body_pending(wsi, 0);
    const int written =
        lws_write(wsi, buffer.data() + LWS_PRE, m_request.body.size(), LWS_WRITE_HTTP_FINAL);
    m_request.body.clear();
    return written < 0 ? -1 : 0;
}

http_connection::implementation::implementation(event_loop &eventLoop, endpoint peerEndpoint)
    : loop(eventLoop)
    , peer(std::move(peerEndpoint))
    , vhost(loop, "client-" + peer.toString(), &implementation::onEvent, 0, this, nullptr)
{ }

http_connection::implementation::~implementation()
{
    closeConnection();
}

int http_connection::implementation::onEvent(lws *wsi, lws_callback_reasons reason, void *user,
                                             void *in, std::size_t length)
{
    if (reason == LWS_CALLBACK_WSI_DESTROY)
        watcher_tracker::onDestroyed(wsi);
    auto *self = static_cast<implementation *>(virtual_host::ownerOf(wsi));
    if (self == nullptr)
        return lws_callback_http_dummy(wsi, reason, user, in, length);

    // On a reused connection, callbacks run before lws_client_connect_via_info() returns the wsi of
    // the new request.
    if (self->isStarting && self->activeWsi == nullptr && wsi != self->idleWsi)
        self->activeWsi = wsi;
    if (reason == LWS_CALLBACK_WSI_DESTROY || reason == LWS_CALLBACK_CLOSED_CLIENT_HTTP) {
        self->onClosed(wsi);
        return 0;
    }
    exchange_adapter *const adapter = self->adapterOf(wsi);
    if (adapter == nullptr)
        return requiresExchange(reason) ? -1
                                        : lws_callback_http_dummy(wsi, reason, user, in, length);
    return self->onExchangeEvent(*adapter, wsi, reason, user, in, length);
}

exchange_adapter *http_connection::implementation::adapterOf(const lws *wsi) const noexcept
{
    return activeWsi == wsi ? activeExchange : nullptr;
}

bool http_connection::implementation::requiresExchange(lws_callback_reasons reason)
{
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        return true;
    default:
        return false;
    }
}

void http_connection::implementation::onClosed(const lws *wsi)
{
    if (exchange_adapter *const adapter = adapterOf(wsi))
        adapter->onFailed(exchange_failure::ConnectionClosed);
    if (activeWsi == wsi)
        activeWsi = nullptr;
    if (idleWsi == wsi)
        idleWsi = nullptr;
}

int http_connection::implementation::onExchangeEvent(exchange_adapter &adapter, lws *wsi,
                                                     lws_callback_reasons reason, void *user,
                                                     void *in, std::size_t length)
{
    switch (reason) {
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        // The library also reports this if the connection breaks before the response's headers.
        adapter.onFailed(adapter.isSent() ? exchange_failure::ConnectionClosed
                                          : exchange_failure::ConnectFailed);
        return 0;
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return adapter.onAppendHeaders(wsi, static_cast<unsigned char **>(in), length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return adapter.onWriteable(wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        adapter.onResponseHeaders(wsi);
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return readBody(wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        if (adapter.onBodyData(static_cast<const char *>(in), length))
            return 0;
        adapter.onFailed(exchange_failure::ResponseTooLarge);
        return -1;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        activeWsi = nullptr;
        idleWsi = wsi;
        adapter.onCompleted();
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, length);
    }
}

int http_connection::implementation::readBody(lws *wsi)
{
    std::array<char, LWS_PRE + readBufferBytes> buffer;
    char *data = buffer.data() + LWS_PRE;
    int size = static_cast<int>(readBufferBytes);
    return lws_http_client_read(wsi, &data, &size) < 0 ? -1 : 0;
}

void http_connection::implementation::start(exchange_adapter &adapter)
{
    activeExchange = &adapter;
    const outgoing_request &request = adapter.request();
    if (idleWsi == nullptr)
        ++dials;

    lws_client_connect_info info{};
    info.context = loop.lwsContext();
    info.vhost = vhost.handle();
    info.address = peer.address().c_str();
    info.port = peer.port();
    info.path = request.path.c_str();
    // The library finds a reusable connection by comparing its host with the new address.
    info.host = peer.address().c_str();
    info.origin = peer.address().c_str();
    info.method = request.body.empty() ? "GET" : "POST";
    info.ssl_connection = LCCSCF_PIPELINE;
    info.keep_warm_secs = idleConnectionSeconds;
    info.local_protocol_name = "http";
    info.pwsi = &activeWsi;
    adapter.startTimer(loop.timer());
    watcher_tracker::takeLatest();
    isStarting = true;
    lws *newWsi = lws_client_connect_via_info(&info);
    isStarting = false;
    // A reused connection now belongs to the new request's wsi, with a new watcher.
    if (idleWsi != nullptr)
        watcher_tracker::closeAfter(idleWsi, watcher);
    watcher = watcher_tracker::takeLatest();
    idleWsi = nullptr;
    if (newWsi == nullptr && activeExchange == &adapter)
        adapter.onFailed(exchange_failure::ConnectFailed);
    loop.wake();
}

void http_connection::implementation::closeConnection()
{
    // Closes synchronously: until a deferred close, libwebsockets could queue the next request on
    // this connection.
    lws *const openWsi = activeWsi != nullptr ? activeWsi : idleWsi;
    activeWsi = nullptr;
    idleWsi = nullptr;
    if (openWsi != nullptr)
        lws_set_timeout(openWsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
    loop.wake();
}

http_connection::http_connection(event_loop &loop, endpoint peer)
    : m_implementation(std::make_unique<implementation>(loop, std::move(peer)))
{ }

http_connection::~http_connection() = default;

kj::Promise<exchange_result> http_connection::exchange(outgoing_request request)
{
    assert(!isBusy());
    return kj::newAdaptedPromise<exchange_result, exchange_adapter>(*m_implementation,
                                                                    std::move(request));
}

bool http_connection::isBusy() const noexcept
{
    return m_implementation->activeExchange != nullptr;
}

bool http_connection::isOpen() const noexcept
{
    return m_implementation->idleWsi != nullptr;
}

std::uint64_t http_connection::dialCount() const noexcept
{
    return m_implementation->dials;
}

void http_connection::close()
{
    assert(!isBusy());
    m_implementation->closeConnection();
}

} // namespace mustardcourse::wire
