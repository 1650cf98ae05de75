#include "caller_connection.h"

#include <string>
#include <utility>

namespace mustardcourse::http {

namespace {

/** Time for a caller to close its side after ours; closing the connection earlier could reset it
    and lose the response. */
constexpr std::chrono::seconds lingeringCloseTimeout{1};

/** Time without progress after which the rest of a response is dropped; a caller may pause while it
    reads. */
constexpr std::chrono::seconds sendStallTimeout{10};

} // namespace

caller_exchange::caller_exchange(caller_connection &connection, request receivedRequest,
                                 const request_times &times, bool isFirstRequest)
    : m_connection(&connection)
    , m_request(std::move(receivedRequest))
    , m_times(times)
    , m_isFirstRequest(isFirstRequest)
{ }

caller_exchange::~caller_exchange()
{
    if (m_connection != nullptr)
        m_connection->abandon();
}

void caller_exchange::sendInterim(int status, const header_fields &headers)
{
    if (m_connection != nullptr)
        m_connection->sendInterim(status, headers);
}

void caller_exchange::respond(const reply &answer)
{
    if (m_connection == nullptr)
        return;
    caller_connection *connection = m_connection;
    m_connection = nullptr;
    connection->respond(answer);
}

caller_connection::caller_connection(caller_server &server,
                                     std::unique_ptr<net::stream> acceptedStream)
    : m_server(server)
    , m_stream(std::move(acceptedStream))
    , m_reader(message_reader::direction::Requests, server.m_limits.message, server.m_memory)
    , m_unparsedMemory(server.m_memory)
    , m_timer(server.m_loop, [this] { onTimeout(); })
{
    m_server.m_connections.insert(this);
    m_stream->setHandler(*this);
    startIdleTimer();
}

caller_connection::~caller_connection()
{
    m_server.m_connections.erase(this);
    if (m_exchange == nullptr)
        return;
    caller_exchange &unansweredExchange = *m_exchange;
    unansweredExchange.m_connection = nullptr;
    if (unansweredExchange.m_onDisconnect)
        unansweredExchange.m_onDisconnect();
}

bool caller_connection::isIdleFor(duration minimumIdleTime) const
{
    const bool isIdle = m_exchange == nullptr && m_unparsedData.empty()
        && m_reader.state() == read_state::Empty && m_stream->unsentBytes() == 0;
    return isIdle && !m_isFinishing && m_server.m_clock.now() - m_idleSince >= minimumIdleTime;
}

void caller_connection::startIdleTimer()
{
    m_idleSince = m_server.m_clock.now();
    m_timer.start(m_server.m_limits.idleTimeout);
}

void caller_connection::extendIdleTime()
{
    if (isIdleFor(duration::zero()))
        m_timer.start(m_idleSince + m_server.m_limits.idleTimeout - m_server.m_clock.now());
}

void caller_connection::awaitSending()
{
    m_unsentBytes = m_stream->unsentBytes();
    m_timer.start(sendStallTimeout);
}

void caller_connection::onTimeout()
{
    if (!m_isFinishing && m_reader.state() != read_state::Empty)
        return refuse(408);
    const std::size_t unsentBytes = m_stream->unsentBytes();
    if (unsentBytes > 0 && unsentBytes != m_unsentBytes)
        return awaitSending();
    const bool hasJustBeenSent = unsentBytes == 0 && std::exchange(m_unsentBytes, 0) > 0;
    if (hasJustBeenSent && !m_isFinishing)
        return startIdleTimer();
    delete this;
}

void caller_connection::onData(std::string_view data)
{
    if (m_isFinishing)
        return;
    m_latestArrival = m_stream->earliestArrival();
    if (m_unparsedData.empty())
        m_unparsedArrival = m_latestArrival;
    m_unparsedData.append(data);
    if (m_exchange != nullptr) {
        // While a caller waits for a response, it may send at most the size of one further request.
        const message_limits &limits = m_server.m_limits.message;
        const bool isAllowed = m_unparsedData.size() <= limits.headerBytes + limits.bodyBytes
            && m_unparsedMemory.resize(m_unparsedData.size());
        if (!isAllowed)
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
    while (m_exchange == nullptr && !m_unparsedData.empty() && !m_isFinishing) {
        if (m_reader.state() == read_state::Empty) {
            m_requestBegin = m_unparsedArrival;
            m_reader.setLimits(m_server.m_limits.message);
            m_timer.start(m_server.m_limits.readTimeout);
        }
        const std::size_t consumed = m_reader.feed(m_unparsedData);
        m_unparsedData.erase(0, consumed);
        static_cast<void>(m_unparsedMemory.resize(m_unparsedData.size()));
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
    m_isKeepAlive = receivedRequest.isKeepAlive;
    m_isContinueSent = false;
    const request_times times{m_requestBegin, m_latestArrival};
    m_unparsedArrival = m_latestArrival;
    auto exchange = std::make_unique<caller_exchange>(*this, std::move(receivedRequest), times,
                                                      m_isFirstRequest);
    m_isFirstRequest = false;
    m_exchange = exchange.get();
    m_server.m_handler(std::move(exchange));
}

void caller_connection::refuse(int status)
{
    m_isKeepAlive = false;
    if (m_server.m_onRejection)
        m_server.m_onRejection(status);
    respond({status, "", {}, ""});
}

void caller_connection::sendInterim(int status, const header_fields &headers)
{
    std::string text;
    appendStatusLine(text, status, "");
    for (const header_field &field : headers)
        appendHeader(text, field.name, field.value);
    m_stream->write(text.append("\r\n"));
}

void caller_connection::respond(const reply &answer)
{
    m_exchange = nullptr;
    const bool isKeepAlive =
        m_isKeepAlive && !m_server.m_isClosingAfterResponses && answer.isLengthKnown;
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
    startIdleTimer();
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
    m_unparsedData.clear();
    m_unparsedMemory.release();
    awaitSending();
    m_stream->finish();
}

void caller_connection::onSent()
{
    m_timer.start(lingeringCloseTimeout);
}

void caller_connection::onEnd(net::stream_end_reason)
{
    delete this;
}

caller_server::caller_server(net::loop &loop, const clock &clock, const endpoint &address,
                             request_handler handler, receive_memory *memory)
    : m_loop(loop)
    , m_clock(clock)
    , m_handler(std::move(handler))
    , m_memory(memory)
{
    m_listener.emplace(loop, address, [this](std::unique_ptr<net::stream> acceptedStream) {
        // The connection deletes itself; the server's destructor deletes those that remain.
        new caller_connection(*this, std::move(acceptedStream)); // NOLINT
    });
}

caller_server::~caller_server()
{
    while (!m_connections.empty())
        delete *m_connections.begin();
}

void caller_server::setLimits(const caller_limits &limits)
{
    const bool isIdleTimeoutLonger = limits.idleTimeout > m_limits.idleTimeout;
    m_limits = limits;
    if (!isIdleTimeoutLonger)
        return;
    for (caller_connection *connection : m_connections)
        connection->extendIdleTime();
}

void caller_server::stopAccepting()
{
    if (m_listener)
        m_listener->acceptQueued();
    m_listener.reset();
}

void caller_server::closeIdleConnections(duration minimumIdleTime)
{
    const auto connections = m_connections;
    for (caller_connection *connection : connections) {
        if (connection->isIdleFor(minimumIdleTime))
            delete connection;
    }
}

std::size_t caller_server::pendingCount() const noexcept
{
    std::size_t count = 0;
    for (const caller_connection *connection : m_connections)
        count += connection->hasExchange() ? 1 : 0;
    return count;
}

} // namespace mustardcourse::http
