#include "caller_connection.h"

#include <string>

namespace mustardcourse::http {

namespace {

/** Time for a caller to close its side after ours, so that our response is not lost by a reset. */
constexpr std::chrono::seconds closingTime{1};

} // namespace

caller_exchange::caller_exchange(caller_connection &connection, request receivedRequest,
                                 time_point arrival, bool isFirst)
    : m_connection(&connection)
    , m_request(std::move(receivedRequest))
    , m_arrival(arrival)
    , m_isFirst(isFirst)
{ }

caller_exchange::~caller_exchange()
{
    if (m_connection != nullptr)
        m_connection->abandon();
}

void caller_exchange::respond(const reply &answer)
{
    if (m_connection == nullptr)
        return;
    caller_connection *connection = m_connection;
    m_connection = nullptr;
    connection->respond(answer);
}

caller_connection::caller_connection(caller_server &server, std::unique_ptr<net::stream> accepted)
    : m_server(server)
    , m_stream(std::move(accepted))
    , m_reader(message_reader::direction::Requests, server.m_limits.message)
    , m_timer(server.m_loop, [this] { onTimeout(); })
{
    m_server.m_connections.insert(this);
    m_stream->setHandler(*this);
    watchIdle();
}

caller_connection::~caller_connection()
{
    m_server.m_connections.erase(this);
    if (m_exchange == nullptr)
        return;
    caller_exchange &left = *m_exchange;
    left.m_connection = nullptr;
    if (left.m_onGone)
        left.m_onGone();
}

bool caller_connection::isIdleFor(duration length) const
{
    const bool isIdle =
        m_exchange == nullptr && m_unread.empty() && m_reader.state() == read_state::Empty;
    return isIdle && !m_isFinishing && m_server.m_clock.now() - m_idleSince >= length;
}

void caller_connection::watchIdle()
{
    m_idleSince = m_server.m_clock.now();
    m_timer.start(m_server.m_limits.idleTimeout);
}

void caller_connection::onTimeout()
{
    if (m_isFinishing || m_reader.state() == read_state::Empty) {
        delete this;
        return;
    }
    refuse(408);
}

void caller_connection::onData(std::string_view data)
{
    if (m_isFinishing)
        return;
    m_unread.append(data);
    if (m_exchange != nullptr) {
        // A caller that sends on and on while it waits is cut off at the size of one request.
        const message_limits &limits = m_server.m_limits.message;
        if (m_unread.size() > limits.headerBytes + limits.bodyBytes)
            delete this;
        return;
    }
    parse();
}

void caller_connection::parse()
{
    if (m_isParsing)
        return;
    m_isParsing = true;
    while (m_exchange == nullptr && !m_unread.empty() && !m_isFinishing) {
        if (m_reader.state() == read_state::Empty)
            m_timer.start(m_server.m_limits.readTimeout);
        const std::size_t taken = m_reader.feed(m_unread);
        m_unread.erase(0, taken);
        switch (m_reader.state()) {
        case read_state::Empty:
        case read_state::Partial:
            if (m_reader.isAwaitingContinue() && !m_isContinueSent) {
                m_isContinueSent = true;
                m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            m_isParsing = false;
            return;
        case read_state::Complete:
            startExchange();
            break;
        case read_state::Malformed:
            refuse(400);
            break;
        case read_state::HeaderTooLarge:
            refuse(431);
            break;
        case read_state::BodyTooLarge:
            refuse(413);
            break;
        }
    }
    m_isParsing = false;
}

void caller_connection::startExchange()
{
    m_timer.stop();
    request receivedRequest = m_reader.takeRequest();
    m_keepsOpen = receivedRequest.isKeepAlive;
    m_isContinueSent = false;
    auto exchange = std::make_unique<caller_exchange>(*this, std::move(receivedRequest),
                                                      m_server.m_clock.now(), m_isFirst);
    m_isFirst = false;
    m_exchange = exchange.get();
    m_server.m_handler(std::move(exchange));
}

void caller_connection::refuse(int status)
{
    m_keepsOpen = false;
    respond({status, "", {}, ""});
}

void caller_connection::respond(const reply &answer)
{
    m_exchange = nullptr;
    const bool isKeepAlive = m_keepsOpen && !m_server.m_isClosing && answer.isLengthKnown;
    std::string text;
    text.reserve(256 + answer.body.size());
    appendStatusLine(text, answer.status, answer.reason);
    for (const header_field &field : answer.headers)
        appendHeader(text, field.name, field.value);
    if (answer.isLengthKnown)
        appendHeader(text, "Content-Length", std::to_string(answer.body.size()));
    if (!isKeepAlive)
        appendHeader(text, "Connection", "close");
    text.append("\r\n").append(answer.body);
    m_stream->write(std::move(text));
    if (!isKeepAlive)
        return finish();
    watchIdle();
    parse();
}

void caller_connection::abandon()
{
    m_exchange = nullptr;
    finish();
}

void caller_connection::finish()
{
    m_isFinishing = true;
    m_unread.clear();
    m_stream->finish();
    m_timer.start(closingTime);
}

void caller_connection::onEnd(net::stream_end_reason)
{
    delete this;
}

caller_server::caller_server(net::loop &loop, const clock &clock, const endpoint &address,
                             request_handler handler)
    : m_loop(loop)
    , m_clock(clock)
    , m_handler(std::move(handler))
{
    m_listener.emplace(loop, address, [this](std::unique_ptr<net::stream> accepted) {
        // The connection owns itself, and the server knows all of them.
        new caller_connection(*this, std::move(accepted)); // NOLINT
    });
}

caller_server::~caller_server()
{
    while (!m_connections.empty())
        delete *m_connections.begin();
}

void caller_server::closeIdleConnections(duration idleTimeout)
{
    const auto all = m_connections;
    for (caller_connection *each : all) {
        if (each->isIdleFor(idleTimeout))
            delete each;
    }
}

std::size_t caller_server::pendingCount() const noexcept
{
    std::size_t count = 0;
    for (const caller_connection *each : m_connections)
        count += each->hasExchange() ? 1 : 0;
    return count;
}

} // namespace mustardcourse::http
