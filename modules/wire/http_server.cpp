#include "virtual_host.h"

#include <mustardcourse/wire/http_server.h>

#include <fmt/format.h>
#include <libwebsockets.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <unordered_set>

namespace mustardcourse::wire {

namespace {

/** Connection with the request that is being received or handled on it. */
struct server_connection
{
    explicit server_connection(lws *connectionWsi)
        : wsi(connectionWsi)
    { }

    lws *wsi;
    http_request request;
    bool isRequestPending = false;
    bool isBodyTooLarge = false;
    kj::Maybe<http_response> response;
    kj::Promise<void> responseTask = nullptr;
};

/** Per-session data that libwebsockets stores for each connection. */
struct session
{
    server_connection *connection;
};

constexpr std::chrono::milliseconds hangUpCheckInterval{10};

/** Returns whether the peer has closed the connection, without consuming input. */
bool isClosedByPeer(lws *wsi)
{
    char byte = 0;
    const auto length = ::recv(lws_get_socket_fd(wsi), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool hasFailed = length < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
    return length == 0 || hasFailed;
}

/**
    Pauses or resumes reading from a connection.

    libwebsockets reads nothing while a response is being prepared but still polls for input, so a
    peer that closes its connection would make the loop spin.
*/
void setReadEnabled(lws *wsi, bool shouldRead)
{
    const int change =
        shouldRead ? LWS_RXFLOW_REASON_APPLIES_ENABLE : LWS_RXFLOW_REASON_APPLIES_DISABLE;
    lws_rx_flow_control(wsi,
                        change | LWS_RXFLOW_REASON_USER_BOOL | LWS_RXFLOW_REASON_FLAG_PROCESS_NOW);
}

std::string copyHeader(lws *wsi, lws_token_indexes token)
{
    const int length = lws_hdr_total_length(wsi, token);
    if (length <= 0)
        return {};
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    lws_hdr_copy(wsi, value.data(), length + 1, token);
    value.resize(static_cast<std::size_t>(length));
    return value;
}

struct method_token
{
    lws_token_indexes token;
    const char *name;
};

constexpr std::array<method_token, 4> methodTokens{{
    {WSI_TOKEN_GET_URI, "GET"},
    {WSI_TOKEN_POST_URI, "POST"},
    {WSI_TOKEN_PUT_URI, "PUT"},
    {WSI_TOKEN_DELETE_URI, "DELETE"},
}};

std::string methodOf(lws *wsi)
{
    for (const method_token &candidate : methodTokens) {
        if (lws_hdr_total_length(wsi, candidate.token) > 0)
            return candidate.name;
    }
    return "OTHER";
}

std::map<std::string, std::string> argumentsOf(lws *wsi)
{
    constexpr int maximumFragmentBytes = 4096;

    std::map<std::string, std::string> arguments;
    std::string fragment(maximumFragmentBytes, '\0');
    for (int index = 0;; ++index) {
        const int length = lws_hdr_copy_fragment(wsi, fragment.data(), maximumFragmentBytes,
                                                 WSI_TOKEN_HTTP_URI_ARGS, index);
        if (length < 0)
            return arguments;
        const std::string text(fragment.data(), static_cast<std::size_t>(length));
        const auto equals = text.find('=');
        const std::string key = text.substr(0, equals);
        arguments[key] = equals == std::string::npos ? "" : text.substr(equals + 1);
    }
}

/** Writes the headers of a response. Returns false if they do not fit into the buffer. */
bool writeHeaders(lws *wsi, const http_response &response, unsigned char **position,
                  unsigned char *end)
{
    if (lws_add_http_common_headers(wsi, static_cast<unsigned int>(response.status),
                                    response.contentType.c_str(), response.body.size(), position,
                                    end))
        return false;
    for (const http_header &header : response.headers) {
        const std::string name = header.name + ":";
        if (lws_add_http_header_by_name(
                wsi, reinterpret_cast<const unsigned char *>(name.c_str()),
                reinterpret_cast<const unsigned char *>(header.value.data()),
                static_cast<int>(header.value.size()), position, end))
            return false;
    }
    return lws_finalize_http_header(wsi, position, end) == 0;
}

/** Sends headers and body in a single write, to save a system call per response. */
bool sendResponse(lws *wsi, const http_response &response)
{
    constexpr std::size_t maximumHeaderBytes = 4096;

    std::vector<unsigned char> buffer(LWS_PRE + maximumHeaderBytes + response.body.size());
    unsigned char *const start = buffer.data() + LWS_PRE;
    unsigned char *position = start;
    if (!writeHeaders(wsi, response, &position, start + maximumHeaderBytes))
        return false;
    position = std::copy(response.body.begin(), response.body.end(), position);
    const auto size = static_cast<std::size_t>(position - start);
    return lws_write(wsi, start, size, LWS_WRITE_HTTP_HEADERS) >= static_cast<int>(size);
}

http_response errorResponse(int status, const char *code, const std::string &message)
{
    http_response response;
    response.status = status;
    response.body = fmt::format(R"({{"error":"{}","message":"{}"}})", code, message);
    return response;
}

} // namespace

struct http_server_base::implementation
{
    implementation(http_server_base &serverOwner, event_loop &eventLoop,
                   const http_server_limits &serverLimits)
        : owner(serverOwner)
        , loop(eventLoop)
        , limits(serverLimits)
    { }

    static int onEvent(lws *wsi, lws_callback_reasons reason, void *user, void *in,
                       std::size_t length);
    int onHttp(lws *wsi, session &state, const char *uri, std::size_t length);
    int onBody(session &state, const char *data, std::size_t length);
    void onRequestComplete(server_connection &connection);
    void respond(server_connection &connection, http_response response);
    int onWriteable(lws *wsi, session &state);
    void removeConnection(session &state);
    void closeImmediately(const std::vector<lws *> &wsis);
    kj::Promise<void> watchForHangUps();

    http_server_base &owner;
    event_loop &loop;
    http_server_limits limits;
    std::unordered_set<lws *> openWsis;
    /** Connections on which at least one request has started. */
    std::unordered_set<server_connection *> connections;
    std::size_t pendingRequests = 0;
    bool isClosing = false;
    std::unique_ptr<virtual_host> vhost;
    kj::Promise<void> hangUpTask = nullptr;
};

int http_server_base::implementation::onEvent(lws *wsi, lws_callback_reasons reason, void *user,
                                              void *in, std::size_t length)
{
    auto *self = static_cast<implementation *>(virtual_host::ownerOf(wsi));
    if (self == nullptr)
        return lws_callback_http_dummy(wsi, reason, user, in, length);

    auto *state = static_cast<session *>(user);
    switch (reason) {
    case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
        return self->openWsis.size() >= self->limits.maximumConnections ? 1 : 0;
    case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
        self->openWsis.insert(wsi);
        return 0;
    case LWS_CALLBACK_WSI_DESTROY:
        self->openWsis.erase(wsi);
        return 0;
    case LWS_CALLBACK_HTTP:
        return self->onHttp(wsi, *state, static_cast<const char *>(in), length);
    case LWS_CALLBACK_HTTP_BODY:
        return self->onBody(*state, static_cast<const char *>(in), length);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        if (state->connection != nullptr)
            self->onRequestComplete(*state->connection);
        return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return self->onWriteable(wsi, *state);
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
        if (state != nullptr)
            self->removeConnection(*state);
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, length);
    }
}

int http_server_base::implementation::onHttp(lws *wsi, session &state, const char *uri,
                                             std::size_t length)
{
    if (state.connection == nullptr) {
        state.connection = new server_connection(wsi);
        connections.insert(state.connection);
    }
    server_connection &connection = *state.connection;
    connection.request = {};
    connection.request.method = methodOf(wsi);
    connection.request.path.assign(uri, length);
    connection.request.arguments = argumentsOf(wsi);
    connection.request.authorization = copyHeader(wsi, WSI_TOKEN_HTTP_AUTHORIZATION);
    connection.isRequestPending = true;
    connection.isBodyTooLarge = false;
    ++pendingRequests;

    const std::string contentLength = copyHeader(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    const bool hasBody = std::strtoull(contentLength.c_str(), nullptr, 10) > 0;
    if (!hasBody) {
        onRequestComplete(connection);
        return 0;
    }
    lws_set_timeout(wsi, PENDING_TIMEOUT_HTTP_CONTENT,
                    static_cast<int>(limits.requestReadTimeout.count()));
    return 0;
}

int http_server_base::implementation::onBody(session &state, const char *data, std::size_t length)
{
    if (state.connection == nullptr)
        return 1;
    server_connection &connection = *state.connection;
    if (connection.isBodyTooLarge)
        return 0;
    if (connection.request.body.size() + length > limits.maximumBodyBytes) {
        connection.isBodyTooLarge = true;
        connection.request.body.clear();
        return 0;
    }
    connection.request.body.append(data, length);
    return 0;
}

void http_server_base::implementation::onRequestComplete(server_connection &connection)
{
    lws_set_timeout(connection.wsi, NO_PENDING_TIMEOUT, 0);
    setReadEnabled(connection.wsi, false);
    if (connection.isBodyTooLarge) {
        respond(connection, errorResponse(413, "body-too-large", "the request body is too large"));
        return;
    }
    // Handlers run outside of libwebsockets callbacks, so that they may close connections.
    auto responsePromise = kj::evalLater([this, request = std::move(connection.request)]() mutable {
        return owner.dispatch(std::move(request));
    });
    connection.responseTask =
        responsePromise
            .then([this, &connection](http_response &&response) {
                respond(connection, std::move(response));
            })
            .eagerlyEvaluate([this, &connection](kj::Exception &&failure) {
                const bool isOverloaded = failure.getType() == kj::Exception::Type::OVERLOADED;
                respond(connection,
                        errorResponse(isOverloaded ? 503 : 500, "internal", "internal error"));
            });
}

void http_server_base::implementation::respond(server_connection &connection,
                                               http_response response)
{
    connection.response = std::move(response);
    // libwebsockets does not report a connection as writable while reading is paused.
    setReadEnabled(connection.wsi, true);
    lws_callback_on_writable(connection.wsi);
    loop.wake();
}

int http_server_base::implementation::onWriteable(lws *wsi, session &state)
{
    if (state.connection == nullptr)
        return 0;
    KJ_IF_MAYBE (response, state.connection->response) {
        const bool isSent = !response->shouldAbortConnection && sendResponse(wsi, *response);
        if (!isSent)
            return -1;
        state.connection->response = nullptr;
        state.connection->responseTask = nullptr;
        state.connection->isRequestPending = false;
        --pendingRequests;
        const bool mustClose = lws_http_transaction_completed(wsi) != 0;
        return mustClose || isClosing ? -1 : 0;
    }
    return 0;
}

void http_server_base::implementation::removeConnection(session &state)
{
    server_connection *connection = state.connection;
    if (connection == nullptr)
        return;
    state.connection = nullptr;
    if (connection->isRequestPending)
        --pendingRequests;
    connections.erase(connection);
    delete connection;
}

void http_server_base::implementation::closeImmediately(const std::vector<lws *> &wsis)
{
    // Closes synchronously, since the library processes a deferred close only at its next event.
    for (lws *wsi : wsis)
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
    loop.wake();
}

kj::Promise<void> http_server_base::implementation::watchForHangUps()
{
    return loop.sleep(hangUpCheckInterval).then([this] {
        std::vector<lws *> closedByPeer;
        for (const server_connection *connection : connections) {
            if (connection->isRequestPending && isClosedByPeer(connection->wsi))
                closedByPeer.push_back(connection->wsi);
        }
        if (!closedByPeer.empty())
            closeImmediately(closedByPeer);
        return watchForHangUps();
    });
}

http_server_base::http_server_base(event_loop &loop, const endpoint &listenAddress,
                                   const http_server_limits &limits)
    : m_implementation(std::make_unique<implementation>(*this, loop, limits))
{
    m_implementation->vhost = std::make_unique<virtual_host>(
        loop, "server-" + listenAddress.toString(), &implementation::onEvent, sizeof(session),
        m_implementation.get(), &listenAddress);
    m_implementation->hangUpTask =
        m_implementation->watchForHangUps().eagerlyEvaluate([](const kj::Exception &) {});
}

http_server_base::~http_server_base()
{
    m_implementation->hangUpTask = nullptr;
    abortConnections();
}

std::size_t http_server_base::pendingCount() const noexcept
{
    return m_implementation->pendingRequests;
}

std::size_t http_server_base::connectionCount() const noexcept
{
    return m_implementation->openWsis.size();
}

void http_server_base::closeAfterResponses() noexcept
{
    m_implementation->isClosing = true;
}

void http_server_base::abortConnections()
{
    const auto &wsis = m_implementation->openWsis;
    m_implementation->closeImmediately({wsis.begin(), wsis.end()});
}

} // namespace mustardcourse::wire
