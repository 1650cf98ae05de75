#include "virtual_host.h"

#include <mustardcourse/http/reader.h>
#include <mustardcourse/wire/http_connection.h>

#include <fmt/format.h>
#include <libwebsockets.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cassert>
#include <cstring>
#include <optional>

namespace mustardcourse::wire {

namespace {

constexpr http::message_limits responseLimits{std::size_t{16} * 1024, std::size_t{4} * 1024 * 1024};
constexpr int idleConnectionSeconds = 30;
/** Interim responses after which an exchange fails; a peer may send them without end. */
constexpr std::size_t maximumInterimResponses = 16;
constexpr int firstFinalStatus = 200;

std::string formatRequest(const outgoing_request &request, const endpoint &peer)
{
    const bool hasBody = !request.body.empty();
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", hasBody ? "POST" : "GET", request.path);
    http::appendHeader(text, "Host", peer.toString());
    if (!request.authorization.empty())
        http::appendHeader(text, "Authorization", request.authorization);
    if (hasBody) {
        http::appendHeader(text, "Content-Type", "application/json");
        http::appendHeader(text, "Content-Length", std::to_string(request.body.size()));
    }
    return text.append("\r\n").append(request.body);
}

bool write(lws *wsi, std::string_view bytes)
{
    std::vector<unsigned char> buffer(LWS_PRE + bytes.size());
    std::memcpy(buffer.data() + LWS_PRE, bytes.data(), bytes.size());
    return lws_write(wsi, buffer.data() + LWS_PRE, bytes.size(), LWS_WRITE_RAW) >= 0;
}

/** Returns whether the peer has closed a connection in order. A reset may cut a response that ends
    with its connection. */
bool isClosedInOrder(lws *wsi)
{
    tcp_info information{};
    socklen_t size = sizeof(information);
    const int result =
        ::getsockopt(lws_get_socket_fd(wsi), IPPROTO_TCP, TCP_INFO, &information, &size);
    return result == 0 && information.tcpi_state == TCP_CLOSE_WAIT;
}

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
    int onConnectionEvent(lws_callback_reasons reason, void *user, void *in, std::size_t length);
    /** Processes received bytes. Returns whether the connection stays open. */
    bool onData(std::string_view data);
    /** Processes a complete response. Returns whether the connection stays open. */
    bool onResponse(bool hasMoreData);
    /** @param isInOrder  whether the response is complete if nothing else shows its end */
    void onClosed(bool isInOrder);
    void start(exchange_adapter &adapter);
    void connect();
    void closeConnection();

    event_loop &loop;
    endpoint peer;
    exchange_adapter *activeExchange = nullptr;
    lws *connection = nullptr;
    bool isConnected = false;
    std::optional<http::message_reader> reader;
    std::size_t interimResponses = 0;
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
        if (!m_request.isReuseAllowed)
            connection.closeConnection();
        m_result.isConnectionReused = connection.isConnected;
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

    void startTimer(kj::Timer &timer)
    {
        m_timeout = timer.afterDelay(toKj(m_request.timeout))
                        .then([this] { onTimeout(); })
                        .eagerlyEvaluate([](const kj::Exception &) {});
    }

    /** Sends the request, once. Returns false if the connection has failed. */
    bool send(lws *connection)
    {
        if (std::exchange(m_isSent, true))
            return true;
        return write(connection, formatRequest(m_request, m_connection.peer));
    }

    /** Ends the exchange because its connection has failed. */
    void onConnectionFailed()
    {
        onFailed(m_isSent ? exchange_failure::ConnectionClosed : exchange_failure::ConnectFailed);
    }

    void onFailed(exchange_failure failure)
    {
        m_result.failure = failure;
        m_result.outcome = m_isSent ? exchange_outcome::Lost : exchange_outcome::NotSent;
        settle();
    }

    void onAnswered(http::response &&answer)
    {
        m_result.outcome = exchange_outcome::Answered;
        m_result.response.status = answer.status;
        m_result.response.body = std::move(answer.body);
        if (const auto retryAfter = http::findHeader(answer.headers, "Retry-After"))
            m_result.response.headers.push_back({"retry-after", std::string(*retryAfter)});
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
    auto *self = static_cast<implementation *>(virtual_host::ownerOf(wsi));
    const bool isOwnConnection = self != nullptr && wsi != nullptr && self->connection == wsi;
    if (!isOwnConnection)
        return lws_callback_http_dummy(wsi, reason, user, in, length);
    return self->onConnectionEvent(reason, user, in, length);
}

int http_connection::implementation::onConnectionEvent(lws_callback_reasons reason, void *user,
                                                       void *in, std::size_t length)
{
    switch (reason) {
    case LWS_CALLBACK_RAW_CONNECTED:
        isConnected = true;
        lws_set_timeout(connection, NO_PENDING_TIMEOUT, 0);
        lws_callback_on_writable(connection);
        return 0;
    case LWS_CALLBACK_RAW_WRITEABLE:
        return activeExchange == nullptr || activeExchange->send(connection) ? 0 : -1;
    case LWS_CALLBACK_RAW_RX:
        return onData({static_cast<const char *>(in), length}) ? 0 : -1;
    case LWS_CALLBACK_RAW_CLOSE:
        onClosed(isClosedInOrder(connection));
        return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_WSI_DESTROY:
        onClosed(false);
        return 0;
    default:
        return lws_callback_http_dummy(connection, reason, user, in, length);
    }
}

bool http_connection::implementation::onData(std::string_view data)
{
    while (!data.empty()) {
        // Data without a request belongs to no response.
        if (activeExchange == nullptr)
            return false;
        data.remove_prefix(reader->feed(data));
        switch (reader->state()) {
        case http::read_state::Empty:
        case http::read_state::Partial:
            break;
        case http::read_state::Complete:
            if (!onResponse(!data.empty()))
                return false;
            break;
        case http::read_state::Malformed:
            activeExchange->onFailed(exchange_failure::ConnectionClosed);
            return false;
        case http::read_state::HeaderTooLarge:
        case http::read_state::BodyTooLarge:
            activeExchange->onFailed(exchange_failure::ResponseTooLarge);
            return false;
        }
    }
    return true;
}

bool http_connection::implementation::onResponse(bool hasMoreData)
{
    http::response answer = reader->takeResponse();
    if (answer.status < firstFinalStatus) {
        if (answer.isKeepAlive && ++interimResponses <= maximumInterimResponses)
            return true;
        activeExchange->onFailed(exchange_failure::ConnectionClosed);
        return false;
    }
    // A peer that responds before it has read the whole request may still read the rest.
    const bool isReusable =
        answer.isKeepAlive && !hasMoreData && lws_partial_buffered(connection) == 0;
    activeExchange->onAnswered(std::move(answer));
    if (isReusable)
        lws_set_timeout(connection, PENDING_TIMEOUT_USER_OK, idleConnectionSeconds);
    return isReusable;
}

void http_connection::implementation::onClosed(bool isInOrder)
{
    connection = nullptr;
    isConnected = false;
    if (activeExchange == nullptr)
        return;
    if (isInOrder)
        reader->feedEndOfStream();
    const bool hasAnswer = reader->state() == http::read_state::Complete;
    if (hasAnswer)
        activeExchange->onAnswered(reader->takeResponse());
    else
        activeExchange->onConnectionFailed();
}

void http_connection::implementation::start(exchange_adapter &adapter)
{
    activeExchange = &adapter;
    interimResponses = 0;
    adapter.startTimer(loop.timer());
    if (isConnected) {
        lws_set_timeout(connection, NO_PENDING_TIMEOUT, 0);
        lws_callback_on_writable(connection);
    } else {
        connect();
    }
    loop.wake();
}

void http_connection::implementation::connect()
{
    ++dials;
    reader.emplace(http::message_reader::direction::Responses, responseLimits);
    lws_client_connect_info info{};
    info.context = loop.lwsContext();
    info.vhost = vhost.handle();
    info.address = peer.address().c_str();
    info.port = peer.port();
    info.host = peer.address().c_str();
    info.origin = peer.address().c_str();
    info.path = "/";
    // The library leaves the bytes of such a connection to its owner.
    info.method = "RAW";
    info.local_protocol_name = "http";
    info.pwsi = &connection;
    if (lws_client_connect_via_info(&info) == nullptr && activeExchange != nullptr)
        onClosed(false);
}

void http_connection::implementation::closeConnection()
{
    // Closes synchronously, so that a response cannot arrive after the end of its exchange.
    lws *const openConnection = std::exchange(connection, nullptr);
    isConnected = false;
    if (openConnection != nullptr)
        lws_set_timeout(openConnection, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
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
    return m_implementation->isConnected && !isBusy();
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
