#pragma once

#include <mustardcourse/http/reader.h>
#include <mustardcourse/net/stream.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardcourse::standins {

/** Fault that a platform_target shows in its handling of requests. */
enum class target_fault {
    None,
    /** Rejects every request and reports that it was not run. */
    Shed,
    /** Runs the request and responds with status 500. */
    ServerError,
    /** Runs the request, sends a part of the response head and closes the connection. */
    TruncatedHead,
    /** Runs the request, sends half of the response body and closes the connection. */
    TruncatedBody,
    /** Runs the request and never responds. */
    NoResponse,
    /** Responds, then sends a second response that belongs to no request. */
    ExtraResponse,
    /** Responds without Content-Length, with half of the body. */
    UnframedTruncatedBody,
    /** Sends a response with the id of another request before its own. */
    MismatchedId,
    /** Sends a rejection without the id of a request before its own response. */
    UnidentifiedRejection,
    /** Sends a success without the id of a request before its own response. */
    UnidentifiedSuccess,
    /** Runs the request and responds without the proof of its origin. */
    UnsignedSuccess,
    /** Runs the request and responds with status 503, without a report that it was not run. */
    RefusalAfterRun,
    /** Sends bytes that are not HTTP. */
    MalformedResponse,
    /** Runs the request and sends bytes that were set, then closes the connection.
        @see setRawResponse */
    RawResponse,
    /** Closes the connection when a request arrives, without running it. */
    ConnectionClosed,
    /** Runs the request and sends a header without end. */
    EndlessHeader,
    /** Runs the request and sends a body without a length and without end. */
    EndlessBody,
    /** Runs the request and sends a chunked body without end. */
    EndlessChunks,
    /** Runs the request and sends interim responses without end. */
    EndlessInterimResponses,
    /** Runs the request and sends responses to other requests without end. */
    EndlessOtherResponses,
    /** Runs the request and sends a body of which a byte comes now and then. */
    TricklingBody,
};

/** Settings of a platform_target. */
struct platform_target_settings
{
    std::string instance;
    std::string service;
    /** Maximum number of requests that run at the same time. */
    std::size_t slots = 2;
    /** Maximum number of requests that wait for a slot; further requests are rejected. */
    std::size_t queue = 12;
    std::chrono::milliseconds workTime{5};
    /** Number of records in one response. */
    std::size_t records = 4;
};

/**
    A simulated search target of the platform, with slots, a queue and configurable faults.

    It counts the executions of each request, so that tests can detect lost and repeated ones.
*/
class platform_target
{
public:
    platform_target(net::loop &loop, const clock &clock, const endpoint &address,
                    platform_target_settings settings);
    ~platform_target();
    platform_target(const platform_target &) = delete;
    platform_target &operator=(const platform_target &) = delete;

    void setFault(target_fault fault) { m_fault = fault; }
    /** Sets how many bytes of the head target_fault::TruncatedHead sends. */
    void setSentHeadBytes(std::size_t count) { m_sentHeadBytes = count; }
    /** Sets the bytes that target_fault::RawResponse sends. */
    void setRawResponse(std::string bytes) { m_rawResponse = std::move(bytes); }
    /** Sets whether every response states that the target leaves; it continues to serve. */
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }

    /** Sets the value of Retry-After with which every request is refused; empty for none. */
    void setRequestedPause(std::string retryAfter) { m_requestedPause = std::move(retryAfter); }

    /** Sets the rate that every response names as a limit over all hosts; empty for none. */
    void setNamedLimit(std::string rate) { m_namedLimit = std::move(rate); }

    /** Makes the target end at the end of each run of a path: its connections are closed and new
        ones refused for a time. Then it has started again, but not registered.
        @param failuresBetween  runs between two ends that it answers with status 500 */
    void crashOn(std::string path, duration downTime, std::size_t failuresBetween = 0)
    {
        m_crashPath = std::move(path);
        m_downTime = downTime;
        m_failuresBetweenCrashes = failuresBetween;
    }

    /** Makes the target end now, whatever it runs. It starts again after a time, not registered. */
    void endFor(duration downTime)
    {
        m_downTime = downTime;
        crash();
    }

    /** Returns when the target has ended. */
    [[nodiscard]] const std::vector<time_point> &crashTimes() const noexcept
    {
        return m_crashTimes;
    }
    /** Returns when requests for the path that ends it have arrived. */
    [[nodiscard]] const std::vector<time_point> &crashArrivals() const noexcept
    {
        return m_crashArrivals;
    }
    [[nodiscard]] bool isListening() const noexcept { return m_listener.has_value(); }

    /** Sets the maximum number of requests that run at the same time. */
    void setSlots(std::size_t slots) { m_settings.slots = slots; }
    void setWorkTime(std::chrono::milliseconds workTime) { m_settings.workTime = workTime; }

    /** Returns the registration document of this target, as it is written to the store. */
    [[nodiscard]] std::string registration(const std::string &dataCentre, std::string_view state,
                                           std::uint64_t sequence) const;

    /** Returns the number of times that the request with this id was run. */
    [[nodiscard]] std::size_t runCountOf(const std::string &id) const;
    /** Returns how often each request was run, by its id. */
    [[nodiscard]] const std::map<std::string, std::size_t> &runCountsById() const noexcept
    {
        return m_runCountsById;
    }
    [[nodiscard]] std::size_t runCount() const noexcept { return m_runCount; }
    [[nodiscard]] std::size_t arrivalCount() const noexcept { return m_arrivalCount; }
    /** Returns the number of bytes sent by faults that send without end. */
    [[nodiscard]] std::size_t endlessByteCount() const noexcept { return m_endlessByteCount; }
    [[nodiscard]] std::size_t connectionCount() const noexcept { return m_connections.size(); }
    [[nodiscard]] std::size_t acceptedConnectionCount() const noexcept
    {
        return m_acceptedConnectionCount;
    }
    [[nodiscard]] const http::request &lastRequest() const noexcept { return m_lastRequest; }

    /** Returns the body of a successful response, which is the same for every request. */
    [[nodiscard]] std::string body() const;

private:
    class connection;
    friend class connection;

    void start();
    void crash();
    void closeConnections();

    net::loop &m_loop;
    const clock &m_clock;
    endpoint m_address;
    platform_target_settings m_settings;
    target_fault m_fault = target_fault::None;
    std::size_t m_sentHeadBytes = 0;
    std::string m_rawResponse;
    bool m_isLeaving = false;
    std::string m_requestedPause;
    std::string m_namedLimit;
    std::set<connection *> m_connections;
    std::map<std::string, std::size_t> m_runCountsById;
    std::size_t m_runCount = 0;
    std::size_t m_runningCount = 0;
    std::size_t m_arrivalCount = 0;
    std::size_t m_endlessByteCount = 0;
    std::size_t m_acceptedConnectionCount = 0;
    std::uint64_t m_startMilliseconds = 0;
    http::request m_lastRequest;
    std::string m_crashPath;
    duration m_downTime{0};
    std::size_t m_failuresBetweenCrashes = 0;
    std::vector<time_point> m_crashTimes;
    std::vector<time_point> m_crashArrivals;
    net::timer m_startTimer;
    std::optional<net::listener> m_listener;
};

} // namespace mustardcourse::standins
