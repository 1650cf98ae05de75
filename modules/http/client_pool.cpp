#include <mustardcourse/http/client_pool.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace mustardcourse::http {

namespace {

/** Fraction of the peer's idle timeout up to which a connection is reused, since a request and the
    peer's close can cross in the network. */
constexpr double usableIdleFraction = 0.8;

/** Interim responses, and responses to other requests, after which an exchange fails; a peer may
    send them without end. */
constexpr std::size_t maximumSkippedResponses = 16;

/** Parses the timeout in a Keep-Alive field such as "timeout=5, max=100". */
std::optional<std::chrono::seconds> keepAliveTimeout(const header_fields &headers)
{
    const auto value = findHeader(headers, "Keep-Alive");
    if (!value)
        return std::nullopt;
    constexpr std::string_view parameterName = "timeout=";
    const auto begin = value->find(parameterName);
    if (begin == std::string_view::npos)
        return std::nullopt;
    unsigned seconds = 0;
    const char *first = value->data() + begin + parameterName.size();
    const auto parsed = std::from_chars(first, value->data() + value->size(), seconds);
    if (parsed.ec != std::errc{})
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

class client_pool::connection final : private net::stream_handler
{
public:
    explicit connection(client_pool &pool)
        : m_pool(pool)
        , m_reader(message_reader::direction::Responses, pool.m_settings.responseLimits,
                   pool.m_settings.memory)
        , m_stream(net::stream::dial(pool.m_loop, pool.m_peer, *this, pool.m_settings.timeouts))
        , m_dialedAt(pool.m_clock.now())
    { }

    void send(exchange_id exchange, exchange_request request)
    {
        m_exchange = exchange;
        m_skippedResponseCount = 0;
        m_request = std::move(request);
        m_reader.expectBody(m_request.isResponseBodyExpected);
        if (m_isConnected)
            writeRequest();
    }

    [[nodiscard]] exchange_id exchange() const noexcept { return m_exchange; }
    [[nodiscard]] bool isIdle() const noexcept { return m_exchange == 0; }
    [[nodiscard]] time_point idleSince() const noexcept { return m_idleSince; }

private:
    void onConnected() override;
    void onData(std::string_view data) override;
    void onEnd(net::stream_end_reason reason) override;

    void writeRequest();
    /** Processes a complete response. Returns false if the exchange continues, as the response was
        an interim one or belongs to another request. */
    bool complete(bool hasMoreData);
    void fail(exchange_end end, bool hasPeerLeft = false,
              std::optional<net::stream_end_reason> connectionEnd = std::nullopt);

    client_pool &m_pool;
    message_reader m_reader;
    std::unique_ptr<net::stream> m_stream;
    exchange_id m_exchange = 0;
    exchange_request m_request;
    time_point m_dialedAt;
    /** Time until the connection was established, for the first exchange only. */
    duration m_connectionTime{0};
    time_point m_idleSince;
    bool m_isConnected = false;
    bool m_hasCarriedExchange = false;
    bool m_hasForeignResponse = false;
    /** Number of responses that the current exchange has skipped. */
    std::size_t m_skippedResponseCount = 0;
};

void client_pool::connection::onConnected()
{
    m_isConnected = true;
    m_connectionTime = m_pool.m_clock.now() - m_dialedAt;
    if (!isIdle())
        writeRequest();
}

void client_pool::connection::writeRequest()
{
    m_stream->write(m_request.format ? m_request.format() : std::move(m_request.bytes));
}

void client_pool::connection::onData(std::string_view data)
{
    // Data on an idle connection belongs to no request.
    if (isIdle()) {
        m_pool.remove(*this);
        return;
    }
    while (!data.empty()) {
        data.remove_prefix(m_reader.feed(data));
        switch (m_reader.state()) {
        case read_state::Empty:
        case read_state::Partial:
            break;
        case read_state::Complete:
            if (complete(!data.empty()))
                return;
            break;
        case read_state::Malformed:
            return fail(exchange_end::Lost);
        case read_state::HeaderTooLarge:
        case read_state::BodyTooLarge:
            return fail(exchange_end::Oversized);
        }
    }
}

bool client_pool::connection::complete(bool hasMoreData)
{
    response answer = m_reader.takeResponse();
    const bool isInterim = answer.status >= 100 && answer.status < 200;
    const bool matchesRequest = !m_request.matchesRequest || m_request.matchesRequest(answer);
    if (isInterim || !matchesRequest) {
        m_hasForeignResponse = m_hasForeignResponse || !matchesRequest;
        if (isInterim && matchesRequest && m_request.onInterim)
            m_request.onInterim(answer);
        if (answer.isKeepAlive && ++m_skippedResponseCount <= maximumSkippedResponses)
            return false;
        fail(exchange_end::Lost);
        return true;
    }
    if (const auto limit = keepAliveTimeout(answer.headers))
        m_pool.m_peerIdleTimeout = std::min<duration>(m_pool.m_peerIdleTimeout, *limit);
    // A peer that responds before it has read the whole request may still read the rest, so the
    // connection is reused only if all of it has been sent.
    const bool isReusable =
        answer.isKeepAlive && !hasMoreData && !m_hasForeignResponse && m_stream->unsentBytes() == 0;
    exchange_result result{exchange_end::Answered, std::move(answer), m_hasCarriedExchange, false,
                           std::exchange(m_connectionTime, duration::zero())};
    auto onEnd = std::move(m_request.onEnd);
    m_request = {};
    m_exchange = 0;
    m_hasCarriedExchange = true;
    m_idleSince = m_pool.m_clock.now();
    if (!isReusable)
        m_pool.remove(*this);
    onEnd(std::move(result));
    return true;
}

void client_pool::connection::fail(exchange_end end, bool hasPeerLeft,
                                   std::optional<net::stream_end_reason> connectionEnd)
{
    auto onEnd = std::move(m_request.onEnd);
    const exchange_result result{
        end, {}, m_hasCarriedExchange, hasPeerLeft, m_connectionTime, connectionEnd};
    m_pool.remove(*this);
    if (onEnd)
        onEnd(exchange_result(result));
}

void client_pool::connection::onEnd(net::stream_end_reason reason)
{
    if (isIdle()) {
        const duration idle = m_pool.m_clock.now() - m_idleSince;
        if (reason == net::stream_end_reason::PeerClosed && m_hasCarriedExchange)
            m_pool.m_peerIdleTimeout = std::min(m_pool.m_peerIdleTimeout, idle);
        m_pool.remove(*this);
        return;
    }
    if (reason == net::stream_end_reason::NotConnected || !m_isConnected)
        return fail(exchange_end::NotSent, false, reason);
    const bool hasResponseBegun =
        m_reader.state() != read_state::Empty || m_skippedResponseCount > 0;
    // A reset may truncate a response, so only an orderly close completes one without a length.
    if (reason == net::stream_end_reason::PeerClosed)
        m_reader.feedEndOfStream();
    if (m_reader.state() == read_state::Complete && complete(true))
        return;
    const bool hasPeerLeft = !hasResponseBegun && reason != net::stream_end_reason::TimedOut;
    fail(exchange_end::Lost, hasPeerLeft, reason);
}

client_pool::client_pool(net::loop &loop, const clock &clock, endpoint peer,
                         client_pool_settings settings)
    : m_loop(loop)
    , m_clock(clock)
    , m_peer(std::move(peer))
    , m_settings(settings)
{ }

client_pool::~client_pool() = default;

bool client_pool::hasCapacity() const
{
    return m_connections.size() < m_settings.maximumConnections
        || std::any_of(m_connections.begin(), m_connections.end(),
                       [](const auto &candidate) { return candidate->isIdle(); });
}

client_pool::connection *client_pool::idleConnection(duration maximumIdleTime) const
{
    const time_point now = m_clock.now();
    const duration peerLimit = scaled(m_peerIdleTimeout, usableIdleFraction);
    const duration limit = std::min(maximumIdleTime, peerLimit);
    connection *best = nullptr;
    // Prefers the most recently used connection, so that surplus ones become idle and are closed.
    for (const auto &candidate : m_connections) {
        if (candidate->isIdle() && now - candidate->idleSince() <= limit
            && (best == nullptr || best->idleSince() < candidate->idleSince()))
            best = candidate.get();
    }
    return best;
}

exchange_id client_pool::send(exchange_request request)
{
    connection *selectedConnection = idleConnection(request.maximumIdleTime);
    if (selectedConnection == nullptr) {
        closeIdleConnections();
        selectedConnection = m_connections.emplace_back(std::make_unique<connection>(*this)).get();
        ++m_dialCount;
    }
    const exchange_id exchange = ++m_lastExchangeId;
    selectedConnection->send(exchange, std::move(request));
    return exchange;
}

void client_pool::cancel(exchange_id exchange)
{
    for (const auto &candidate : m_connections) {
        if (candidate->exchange() == exchange)
            return remove(*candidate);
    }
}

void client_pool::setMaximumConnections(std::size_t count) noexcept
{
    m_settings.maximumConnections = count;
}

void client_pool::closeIdleConnections(duration minimumIdleTime)
{
    const time_point now = m_clock.now();
    std::erase_if(m_connections, [&](const auto &candidate) {
        return candidate->isIdle() && now - candidate->idleSince() >= minimumIdleTime;
    });
}

std::size_t client_pool::openConnectionCount() const noexcept
{
    return m_connections.size();
}

std::size_t client_pool::busyConnectionCount() const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto &candidate) { return !candidate->isIdle(); }));
}

void client_pool::remove(const connection &closedConnection)
{
    std::erase_if(m_connections,
                  [&](const auto &candidate) { return candidate.get() == &closedConnection; });
}

} // namespace mustardcourse::http
