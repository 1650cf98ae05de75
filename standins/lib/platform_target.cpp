#include "platform_target.h"

#include <mustardcourse/core/hash.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardcourse::standins {

namespace {

std::string formatResponse(int status, const std::string &id, const std::string &serverStamp,
                           const std::string &extraHeaders, const std::string &body)
{
    return fmt::format("HTTP/1.1 {} Answer\r\nX-Attempt-Id: {}\r\nX-Server-Stamp: {}\r\n"
                       "X-Server-Load: 1,0,2\r\n{}\r\n{}",
                       status, id, serverStamp, extraHeaders, body);
}

std::string contentLength(const std::string &body)
{
    return fmt::format("Content-Length: {}\r\n", body.size());
}

} // namespace

/** A connection from a host. It deletes itself when the stream ends. */
class platform_target::connection final : private net::stream_handler
{
public:
    connection(platform_target &owner, std::unique_ptr<net::stream> stream)
        : m_owner(owner)
        , m_stream(std::move(stream))
        , m_reader(http::message_reader::direction::Requests, {})
        , m_workTimer(owner.m_loop, [this] { finishWork(); })
        , m_endlessTimer(owner.m_loop, [this] { sendEndlessly(); })
    {
        m_owner.m_connections.insert(this);
        ++m_owner.m_acceptedConnectionCount;
        m_stream->setHandler(*this);
    }

    ~connection() override
    {
        m_owner.m_connections.erase(this);
        m_owner.m_runningCount -= m_isRunning ? 1 : 0;
    }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

private:
    void onData(std::string_view data) override
    {
        while (!data.empty()) {
            data.remove_prefix(m_reader.feed(data));
            if (m_reader.state() != http::read_state::Complete)
                return;
            if (!startRequest(m_reader.takeRequest()))
                return;
        }
    }

    void onEnd(net::stream_end_reason) override { delete this; }

    [[nodiscard]] std::string header(std::string_view name) const
    {
        return std::string(http::findHeader(m_request.headers, name).value_or(""));
    }

    /** Returns the headers in which the target reports on itself. */
    [[nodiscard]] std::string reportHeaders() const
    {
        const std::string leaving = m_owner.m_isLeaving ? "Server-Leaving: 1\r\n" : "";
        const std::string limit = m_owner.m_namedLimit.empty()
            ? ""
            : fmt::format("Server-Limit: {}\r\n", m_owner.m_namedLimit);
        return leaving + limit;
    }

    /** Returns false if this connection was deleted. */
    bool startRequest(http::request &&request)
    {
        m_request = std::move(request);
        m_owner.m_lastRequest = m_request;
        ++m_owner.m_arrivalCount;
        if (m_owner.m_fault == target_fault::ConnectionClosed) {
            delete this;
            return false;
        }
        if (header("X-Expected-Instance") != m_owner.m_settings.instance) {
            m_stream->write(fmt::format("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {}\r\n"
                                        "X-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                                        header("X-Attempt-Id"), m_owner.m_settings.instance));
            return true;
        }
        const bool isFull =
            m_owner.m_runningCount >= m_owner.m_settings.slots + m_owner.m_settings.queue;
        const bool isPauseRequested = !m_owner.m_requestedPause.empty();
        if (m_owner.m_fault == target_fault::Shed || isFull || isPauseRequested) {
            const std::string pause = isPauseRequested
                ? fmt::format("Retry-After: {}\r\n", m_owner.m_requestedPause)
                : std::string();
            m_stream->write(formatResponse(
                503, header("X-Attempt-Id"), "",
                reportHeaders() + pause + "X-Not-Executed: 1\r\nContent-Length: 0\r\n", ""));
            return true;
        }
        if (m_request.target == m_owner.m_crashPath)
            m_owner.m_crashArrivals.push_back(m_owner.m_clock.now());
        m_isRunning = true;
        ++m_owner.m_runningCount;
        ++m_owner.m_runCount;
        ++m_owner.m_runCountsById[header("X-Attempt-Id")];
        const std::size_t rounds = 1 + (m_owner.m_runningCount - 1) / m_owner.m_settings.slots;
        m_workTimer.start(m_owner.m_settings.workTime * rounds);
        return true;
    }

    void finishWork()
    {
        const bool isCrashPath = m_request.target == m_owner.m_crashPath;
        const std::size_t crashInterval = m_owner.m_failuresBetweenCrashes + 1;
        const bool isCrash = isCrashPath && m_owner.m_crashArrivals.size() % crashInterval == 0;
        if (isCrash)
            return m_owner.crash();
        m_isRunning = false;
        --m_owner.m_runningCount;
        respond(isCrashPath ? target_fault::ServerError : m_owner.m_fault);
    }

    void respond(target_fault fault)
    {
        const std::string id = header("X-Attempt-Id");
        const std::string serverStamp = m_owner.m_settings.instance + "." + id;
        const std::string body = m_owner.body();
        const std::string firstHalf = body.substr(0, body.size() / 2);
        switch (fault) {
        case target_fault::None:
        case target_fault::Shed:
        case target_fault::ConnectionClosed:
            return m_stream->write(
                formatResponse(200, id, serverStamp, reportHeaders() + contentLength(body), body));
        case target_fault::ServerError:
            return m_stream->write(formatResponse(
                500, id, serverStamp, reportHeaders() + contentLength(firstHalf), firstHalf));
        case target_fault::TruncatedHead:
            m_stream->write(formatResponse(200, id, serverStamp, contentLength(body), "")
                                .substr(0, m_owner.m_sentHeadBytes));
            return m_stream->finish();
        case target_fault::TruncatedBody:
            m_stream->write(formatResponse(200, id, serverStamp,
                                           reportHeaders() + contentLength(body), firstHalf));
            delete this;
            return;
        case target_fault::NoResponse:
            return;
        case target_fault::ExtraResponse:
            return m_stream->write(
                formatResponse(200, id, serverStamp, reportHeaders() + contentLength(body), body)
                + formatResponse(200, id, serverStamp, reportHeaders() + contentLength(firstHalf),
                                 firstHalf));
        case target_fault::UnframedTruncatedBody:
            m_stream->write(
                formatResponse(200, id, serverStamp, "Connection: close\r\n", firstHalf));
            return m_stream->finish();
        case target_fault::MismatchedId:
            return m_stream->write(
                formatResponse(200, "another", "another.stamp", contentLength(firstHalf), firstHalf)
                + formatResponse(200, id, serverStamp, reportHeaders() + contentLength(body),
                                 body));
        case target_fault::UnidentifiedRejection:
        case target_fault::UnidentifiedSuccess:
        case target_fault::UnsignedSuccess:
        case target_fault::RefusalAfterRun:
            return m_stream->write(misleadingResponse(fault));
        case target_fault::MalformedResponse:
            return m_stream->write("these bytes are no answer\r\n\r\n");
        case target_fault::RawResponse:
            m_stream->write(m_owner.m_rawResponse);
            return m_stream->finish();
        case target_fault::EndlessHeader:
        case target_fault::EndlessBody:
        case target_fault::EndlessChunks:
        case target_fault::EndlessInterimResponses:
        case target_fault::EndlessOtherResponses:
        case target_fault::TricklingBody:
            return respondEndlessly(fault);
        }
    }

    /** Returns a response whose fields say something else than the target has done. */
    [[nodiscard]] std::string misleadingResponse(target_fault fault) const
    {
        const std::string id = header("X-Attempt-Id");
        const std::string serverStamp = m_owner.m_settings.instance + "." + id;
        const std::string body = m_owner.body();
        const std::string firstHalf = body.substr(0, body.size() / 2);
        const std::string ownResponse =
            formatResponse(200, id, serverStamp, contentLength(body), body);
        switch (fault) {
        case target_fault::UnidentifiedRejection:
            return "HTTP/1.1 503 Answer\r\nX-Not-Executed: 1\r\n" + contentLength("") + "\r\n"
                + ownResponse;
        case target_fault::UnidentifiedSuccess:
            return "HTTP/1.1 200 Answer\r\nX-Server-Stamp: another.stamp\r\n"
                + contentLength(firstHalf) + "\r\n" + firstHalf + ownResponse;
        case target_fault::UnsignedSuccess:
            return fmt::format("HTTP/1.1 200 Answer\r\nX-Attempt-Id: {}\r\n{}\r\n{}", id,
                               contentLength(body), body);
        default:
            return formatResponse(503, id, serverStamp, contentLength(""), "");
        }
    }

    void respondEndlessly(target_fault fault)
    {
        const std::string id = header("X-Attempt-Id");
        const std::string serverStamp = m_owner.m_settings.instance + "." + id;
        switch (fault) {
        case target_fault::EndlessHeader:
            return beginEndless("HTTP/1.1 200 Answer\r\n", "X-Filler: 0123456789abcdef\r\n", 1000);
        case target_fault::EndlessBody:
            return beginEndless(formatResponse(200, id, serverStamp, "", ""), "0123456789abcdef",
                                1000);
        case target_fault::EndlessChunks:
            return beginEndless(
                formatResponse(200, id, serverStamp, "Transfer-Encoding: chunked\r\n", ""),
                "10\r\n0123456789abcdef\r\n", 1000);
        case target_fault::EndlessInterimResponses:
            return beginEndless("", "HTTP/1.1 100 Continue\r\n\r\n", 100);
        case target_fault::EndlessOtherResponses:
            return beginEndless("", formatResponse(200, "another", "stamp", contentLength(""), ""),
                                100);
        default:
            return beginEndless(
                formatResponse(200, id, serverStamp, "Content-Length: 100000\r\n", ""), "0", 1);
        }
    }

    void beginEndless(const std::string &begin, const std::string &piece, std::size_t count)
    {
        m_stream->write(begin);
        m_endlessBytes.clear();
        for (std::size_t i = 0; i < count; ++i)
            m_endlessBytes.append(piece);
        sendEndlessly();
    }

    void sendEndlessly()
    {
        constexpr std::chrono::milliseconds interval{10};
        if (m_stream->unsentBytes() == 0) {
            m_stream->write(m_endlessBytes);
            m_owner.m_endlessByteCount += m_endlessBytes.size();
        }
        m_endlessTimer.start(interval);
    }

    platform_target &m_owner;
    std::unique_ptr<net::stream> m_stream;
    http::message_reader m_reader;
    http::request m_request;
    bool m_isRunning = false;
    net::timer m_workTimer;
    std::string m_endlessBytes;
    net::timer m_endlessTimer;
};

platform_target::platform_target(net::loop &loop, const clock &clock, const endpoint &address,
                                 platform_target_settings settings)
    : m_loop(loop)
    , m_clock(clock)
    , m_address(address)
    , m_settings(std::move(settings))
    , m_startTimer(loop, [this] { start(); })
{
    start();
}

platform_target::~platform_target()
{
    closeConnections();
}

void platform_target::start()
{
    m_startMilliseconds = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallNow().time_since_epoch())
            .count());
    m_listener.emplace(m_loop, m_address, [this](std::unique_ptr<net::stream> stream) {
        // A connection owns itself and registers in m_connections.
        new connection(*this, std::move(stream)); // NOLINT
    });
}

void platform_target::crash()
{
    m_crashTimes.push_back(m_clock.now());
    m_listener.reset();
    closeConnections();
    m_startTimer.start(m_downTime);
}

void platform_target::closeConnections()
{
    while (!m_connections.empty())
        delete *m_connections.begin();
}

std::string platform_target::registration(const std::string &dataCentre, std::string_view state,
                                          std::uint64_t sequence) const
{
    const nlohmann::json document{{"Service", m_settings.service},
                                  {"Address", m_address.toString()},
                                  {"Zone", dataCentre},
                                  {"ConfigVersion", "v1"},
                                  {"MaxConcurrency", m_settings.slots},
                                  {"State", state},
                                  {"WarmupLeftMs", 0},
                                  {"Sequence", sequence},
                                  {"born", m_startMilliseconds}};
    return document.dump();
}

std::size_t platform_target::runCountOf(const std::string &id) const
{
    const auto found = m_runCountsById.find(id);
    return found == m_runCountsById.end() ? 0 : found->second;
}

std::string platform_target::body() const
{
    std::string records;
    for (std::size_t i = 0; i < m_settings.records; ++i) {
        const std::uint64_t seed = stableHash(m_settings.service, i);
        records.append(fmt::format("{:016x}", seed));
    }
    return records;
}

} // namespace mustardcourse::standins
