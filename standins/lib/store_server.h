#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/wire/http_server.h>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <string>

namespace mustardcourse::standins {

/** Faults of a store_server. All fields can be changed while it runs. */
struct store_faults
{
    /** The store rejects every call with status 503. */
    bool isDown = false;
    /** The store accepts calls and never responds. */
    bool isUnresponsive = false;
    /** Time by which every call is delayed. */
    std::chrono::microseconds delay{0};
    /** Number of compare-and-swaps that take effect but whose response is lost. */
    std::size_t lostSwapResponses = 0;
};

/** Numbers of calls to a store_server; a watch that waits counts as one call. */
struct store_counts
{
    std::size_t reads = 0;
    std::size_t writes = 0;
    std::size_t watches = 0;
    std::size_t waitingWatches = 0;
    std::size_t peakWaitingWatches = 0;
};

/**
    A simulated key-value service of the platform: compare-and-swap, leases and watches over
    HTTP with JSON, with configurable faults.
*/
class store_server
{
public:
    store_server(wire::event_loop &loop, const clock &clock, const endpoint &listenAddress);
    ~store_server();

    /** Handles a request. @see wire::http_handler */
    kj::Promise<wire::http_response> handle(const wire::http_request &request);

    [[nodiscard]] store_faults &faults() noexcept { return m_faults; }
    [[nodiscard]] const store_counts &counts() const noexcept { return m_counts; }

    /** Returns the value of a key, or std::nullopt if the key does not exist. */
    [[nodiscard]] std::optional<std::string> valueOf(const std::string &key) const;

private:
    struct stored_entry
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    class waiting_watch;

    kj::Promise<wire::http_response> serve(const wire::http_request &request);
    wire::http_response read(const wire::http_request &request);
    wire::http_response list(const wire::http_request &request);
    wire::http_response compareAndSwap(const wire::http_request &request);
    wire::http_response grantLease(const wire::http_request &request);
    wire::http_response renewLease(const wire::http_request &request);
    wire::http_response control(const wire::http_request &request);
    kj::Promise<wire::http_response> watch(const wire::http_request &request);
    nlohmann::json changesSince(const std::string &prefix, std::uint64_t revision) const;
    void expireLeases();
    void notifyWatches();

    wire::event_loop &m_loop;
    const clock &m_clock;
    store_faults m_faults;
    store_counts m_counts;
    std::uint64_t m_revision = 0;
    std::uint64_t m_nextLease = 0;
    std::map<std::string, stored_entry> m_entries;
    std::map<std::uint64_t, time_point> m_leases;
    std::vector<waiting_watch *> m_watches;
    wire::http_server<store_server> m_server;
};

} // namespace mustardcourse::standins
