#pragma once

#include <mustardcourse/core/data_rate.h>
#include <mustardcourse/http/caller_server.h>
#include <mustardcourse/limits/token_bucket.h>
#include <mustardcourse/store/change_log.h>

#include <map>
#include <memory>

namespace mustardcourse::store {

/** How much of its host's link a relay uses, as requests to targets wait behind its responses. */
struct relay_limits
{
    data_rate linkRate = data_rate::megabitsPerSecond(1000);
    /** Share of the link's rate for the relay's responses. */
    double linkShare = 0.25;
    /** Time for which responses that are sent at once may occupy the link. */
    duration burstTime = std::chrono::milliseconds(100);
};

/**
    Forwards the changes that this host receives from the store to other hosts.

    A host requests the changes after a position. It gets a response at once if there are any,
    otherwise at the end of this host's own watch, so that a response is as current as one of the
    store itself. While the store does not answer, requests fail with
    relay_status::storeUnreachable, and the hosts query the store directly. The same holds for a
    response that exceeds the limits, which fails with relay_status::overLimit.
*/
class change_relay
{
public:
    explicit change_relay(const clock &clock, const relay_limits &limits = {});

    /** Handles a request of another host; holds it until a response is available. */
    void serve(std::unique_ptr<http::caller_exchange> exchange);

    /** Processes the result of a watch of this host and responds to the pending requests.
        @param since  the position after which changes were requested */
    void onWatchResult(const store_position &since, const store_batch &changes);

    /** Rejects the pending requests, as the store has begun another era than theirs. */
    void onNewEra();

    /** Sets whether this host serves others; initially it rejects their requests. */
    void setServing(bool isServing);
    [[nodiscard]] bool isServing() const noexcept { return m_isServing; }

    /** Returns the total size of the changes that have been sent to other hosts. */
    [[nodiscard]] std::uint64_t sentBytes() const noexcept { return m_sentBytes; }

    /** Returns how many responses exceeded the limits. */
    [[nodiscard]] std::uint64_t overLimitCount() const noexcept { return m_overLimitCount; }

private:
    struct pending_request
    {
        store_position since;
        std::unique_ptr<http::caller_exchange> exchange;
    };

    void sendChanges(pending_request &&request);
    void rejectAll(int status);
    void cancel(std::uint64_t number);

    const clock &m_clock;
    limits::token_bucket m_linkBudget;
    change_log m_changeLog;
    std::map<std::uint64_t, pending_request> m_pendingRequests;
    std::uint64_t m_lastRequestNumber = 0;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_overLimitCount = 0;
    bool m_isServing = false;
    bool m_isStoreUnreachable = false;
};

/** HTTP statuses of a relay's responses. */
namespace relay_status {
constexpr int changes = 200;
constexpr int badRequest = 400;
/** The log does not hold all changes after that revision, or the host is not serving. */
constexpr int changesUnavailable = 410;
/** The response would exceed the relay's share of its host's link. */
constexpr int overLimit = 429;
/** The store does not answer this host. */
constexpr int storeUnreachable = 503;
} // namespace relay_status

/** Returns the request target for the changes after a position. */
std::string relayTarget(const store_position &since);

} // namespace mustardcourse::store
