#include <mustardcourse/http/client_pool.h>

#include <algorithm>
#include <charconv>

namespace mustardcourse::http {

namespace {

/** Part of the peer's idle time-out up to which a kept connection is used: the peer's close and a
    request may cross on the way. */
constexpr double usableIdlePart = 0.8;

/** Reads the time-out of a Keep-Alive field such as "timeout=5, max=100". */
std::optional<std::chrono::seconds> keepAliveTimeout(const header_fields &headers)
{
    const auto value = findHeader(headers, "Keep-Alive");
    if (!value)
        return std::nullopt;
    constexpr std::string_view key = "timeout=";
    const auto begin = value->find(key);
    if (begin == std::string_view::npos)
        return std::nullopt;
    unsigned seconds = 0;
    const char *first = value->data() + begin + key.size();
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
        , m_reader(message_reader::direction::Responses, pool.m_settings.responseLimits)
        , m_stream(net::stream::dial(pool.m_loop, pool.m_peer, *this, pool.m_settings.timeouts))
    { }

    void send(exchange_id exchange, exchange_request request)
    {
        m_exchange = exchange;
        m_request = std::move(request);
        m_reader.expectBody(m_request.isBodyExpected);
        m_stream->write(std::move(m_request.bytes));
    }

    [[nodiscard]] exchange_id exchange() const noexcept { return m_exchange; }
    [[nodiscard]] bool isIdle() const noexcept { return m_exchange == 0; }
    [[nodiscard]] time_point idleSince() const noexcept { return m_idleSince; }

private:
    void onConnected() override { m_isConnected = true; }
    void onData(std::string_view data) override;
    void onEnd(net::stream_end_reason reason) override;

    /** Takes the response; returns false if the exchange goes on with the bytes behind it. */
    bool complete(bool hasRest);
    void fail(exchange_end end);

    client_pool &m_pool;
    message_reader m_reader;
    std::unique_ptr<net::stream> m_stream;
    exchange_id m_exchange = 0;
    exchange_request m_request;
    time_point m_idleSince;
    bool m_isConnected = false;
    bool m_wasUsed = false;
    bool m_isSuspect = false;
};

void client_pool::connection::onData(std::string_view data)
{
    // A response that nobody waits for belongs to no request.
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
        case read_state::HeaderTooLarge:
        case read_state::BodyTooLarge:
            return fail(exchange_end::Lost);
        }
    }
}

bool client_pool::connection::complete(bool hasRest)
{
    response answer = m_reader.takeResponse();
    const bool isInterim = answer.status >= 100 && answer.status < 200;
    const bool matchesRequest = !m_request.matchesRequest || m_request.matchesRequest(answer);
    if (isInterim || !matchesRequest) {
        m_isSuspect = m_isSuspect || !matchesRequest;
        if (answer.isKeepAlive)
            return false;
        fail(exchange_end::Lost);
        return true;
    }
    if (const auto limit = keepAliveTimeout(answer.headers))
        m_pool.m_idleLimit = std::min<duration>(m_pool.m_idleLimit, *limit);
    // A peer that answers before it has read the whole request may read the rest later.
    const bool isReusable =
        answer.isKeepAlive && !hasRest && !m_isSuspect && m_stream->unsentBytes() == 0;
    exchange_result result{exchange_end::Answered, std::move(answer), m_wasUsed};
    auto onEnd = std::move(m_request.onEnd);
    m_request = {};
    m_exchange = 0;
    m_wasUsed = true;
    m_idleSince = m_pool.m_clock.now();
    if (!isReusable)
        m_pool.remove(*this);
    onEnd(std::move(result));
    return true;
}

void client_pool::connection::fail(exchange_end end)
{
    auto onEnd = std::move(m_request.onEnd);
    const exchange_result failed{end, {}, m_wasUsed};
    m_pool.remove(*this);
    if (onEnd)
        onEnd(exchange_result(failed));
}

void client_pool::connection::onEnd(net::stream_end_reason reason)
{
    if (isIdle()) {
        const duration idle = m_pool.m_clock.now() - m_idleSince;
        if (reason == net::stream_end_reason::PeerClosed && m_wasUsed)
            m_pool.m_idleLimit = std::min(m_pool.m_idleLimit, idle);
        m_pool.remove(*this);
        return;
    }
    if (reason == net::stream_end_reason::NotConnected || !m_isConnected)
        return fail(exchange_end::NotSent);
    // A reset response may be incomplete, so only an orderly end completes one without a length.
    if (reason == net::stream_end_reason::PeerClosed)
        m_reader.feedEndOfStream();
    if (m_reader.state() == read_state::Complete && complete(true))
        return;
    fail(exchange_end::Lost);
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
                       [](const auto &each) { return each->isIdle(); });
}

client_pool::connection *client_pool::idleConnection(duration maximumIdleTime) const
{
    const time_point now = m_clock.now();
    const duration learned = scaled(m_idleLimit, usableIdlePart);
    const duration limit = std::min(maximumIdleTime, learned);
    connection *best = nullptr;
    // The most recently used connection goes first, so that surplus ones fall idle and close.
    for (const auto &each : m_connections) {
        if (each->isIdle() && now - each->idleSince() <= limit
            && (best == nullptr || best->idleSince() < each->idleSince()))
            best = each.get();
    }
    return best;
}

exchange_id client_pool::send(exchange_request request)
{
    connection *chosen = idleConnection(request.maximumIdleTime);
    if (chosen == nullptr) {
        closeIdleConnections();
        chosen = m_connections.emplace_back(std::make_unique<connection>(*this)).get();
        ++m_dials;
    }
    const exchange_id exchange = ++m_lastExchange;
    chosen->send(exchange, std::move(request));
    return exchange;
}

void client_pool::cancel(exchange_id exchange)
{
    for (const auto &each : m_connections) {
        if (each->exchange() == exchange)
            return remove(*each);
    }
}

void client_pool::setMaximumConnections(std::size_t count) noexcept
{
    m_settings.maximumConnections = count;
}

void client_pool::closeIdleConnections(duration idleTime)
{
    const time_point now = m_clock.now();
    std::erase_if(m_connections, [&](const auto &each) {
        return each->isIdle() && now - each->idleSince() >= idleTime;
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
                      [](const auto &each) { return !each->isIdle(); }));
}

void client_pool::remove(const connection &closed)
{
    std::erase_if(m_connections, [&](const auto &each) { return each.get() == &closed; });
}

} // namespace mustardcourse::http
