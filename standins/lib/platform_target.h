#pragma once

#include <mustardcourse/http/reader.h>
#include <mustardcourse/net/stream.h>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace mustardcourse::standins {

/** What a target stand-in does with the requests that it gets. */
enum class target_fault {
    None,
    /** Refuses every request and says that it was not run. */
    Shed,
    /** Runs the request and answers with status 500. */
    Fails,
    /** Runs the request, answers half of the body and closes the connection. */
    CutShort,
    /** Runs the request and never answers. */
    Mute,
    /** Answers, then sends a second answer that belongs to no request. */
    Extra,
    /** Answers without a length, with half of the body. */
    UnframedCut,
    /** Answers with the id of another request first. */
    Crossed,
    /** Sends bytes that are no HTTP. */
    Garbage,
    /** Closes the connection as soon as a request has arrived, without running it. */
    Closes,
};

/** Settings of a target stand-in. */
struct platform_target_settings
{
    std::string instance;
    std::string service;
    std::size_t slots = 2;
    std::size_t queue = 12;
    std::chrono::milliseconds workTime{5};
    /** Records of one answer. */
    std::size_t records = 4;
};

/**
    A stand-in of a searcher on the platform, with slots, a queue, and faults.

    It keeps what callers and hosts are checked against: which requests ran, and how often.
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
    void setWorkTime(std::chrono::milliseconds time) { m_settings.workTime = time; }

    /** Returns what it registers in the store. */
    [[nodiscard]] std::string registration(const std::string &dataCentre, std::string_view state,
                                           std::uint64_t sequence) const;

    /** Returns how often it ran the request of that id. */
    [[nodiscard]] std::size_t runsOf(const std::string &id) const;
    [[nodiscard]] std::size_t runCount() const noexcept { return m_runs; }
    [[nodiscard]] std::size_t arrivalCount() const noexcept { return m_arrivals; }
    [[nodiscard]] std::size_t connectionCount() const noexcept { return m_connections.size(); }
    [[nodiscard]] std::size_t dialCount() const noexcept { return m_dials; }
    [[nodiscard]] const http::request &lastRequest() const noexcept { return m_lastRequest; }

    /** Returns the records of its answers, the same for every request. */
    [[nodiscard]] std::string body() const;

private:
    class connection;
    friend class connection;

    net::loop &m_loop;
    const clock &m_clock;
    endpoint m_address;
    platform_target_settings m_settings;
    target_fault m_fault = target_fault::None;
    std::set<connection *> m_connections;
    std::map<std::string, std::size_t> m_runsById;
    std::size_t m_runs = 0;
    std::size_t m_running = 0;
    std::size_t m_arrivals = 0;
    std::size_t m_dials = 0;
    std::uint64_t m_startedAt;
    http::request m_lastRequest;
    net::listener m_listener;
};

} // namespace mustardcourse::standins
