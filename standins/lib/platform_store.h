#pragma once

#include <mustardcourse/http/caller_server.h>

#include <nlohmann/json.hpp>

#include <limits>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardcourse::standins {

/** How a platform_store responds to calls. */
enum class store_mode {
    Serving,
    /** Rejects every call with status 503, without effect. */
    Unavailable,
    /** Accepts calls and never responds; the calls have no effect. */
    Unresponsive,
    /** Applies writes but never responds to them; reads are served. */
    LostWriteResponses,
};

/** What happens to watches that wait while the store is restored. */
enum class pending_watches {
    /** Their connections are closed. */
    Close,
    /** They are never answered. */
    Hang,
};

/**
    A simulated store of the platform: keys with revisions, ranges, watches, transactions, leases.

    It implements the part of the platform's published protocol that hosts use.
*/
class platform_store
{
public:
    platform_store(net::loop &loop, const clock &clock, const endpoint &address);
    ~platform_store();
    platform_store(const platform_store &) = delete;
    platform_store &operator=(const platform_store &) = delete;

    /** Writes a key directly, in place of an operator or a target. */
    void put(const std::string &key, const std::string &value);

    /** Deletes a key. */
    void erase(const std::string &key);

    /** Grants a lease that no key uses, in place of another client. */
    void grantLease(duration lifetime) { startLease(++m_lastLeaseId, lifetime); }

    void setMode(store_mode mode);

    /** Compacts the history, so that watches from earlier revisions fail with status 410. */
    void compactHistory();

    /** Copies the keys, leases and counters as they are now, for restoreCopy(). */
    void takeCopy();

    /**
        Returns to the last copy, as after a failover to a replica that lagged behind.

        Changes and leases since the copy are lost, their revisions and lease ids are assigned
        again, and the era increases by one. Leases of the copy have their whole lifetime left.
    */
    void restoreCopy(pending_watches watches = pending_watches::Close);

    /** Makes the store take the next call of a path that begins like this and never answer it. */
    void loseNextCall(std::string pathPrefix)
    {
        m_lostPathPrefix = std::move(pathPrefix);
        m_callLostAt.reset();
        m_lostCallRepeatedAt.reset();
    }

    /** Closes the connections of all watches that wait, without a response. */
    void cutWatches();

    /** Makes the store close the connection of each call of a path that begins like this, without
        a response and without effect; of none if it is empty. */
    void closeCalls(std::string pathPrefix) { m_closedPathPrefix = std::move(pathPrefix); }

    /** Returns the time from the call that was lost to the next one of its path; nothing if there
        was none yet. */
    [[nodiscard]] std::optional<duration> timeUntilLostCallWasRepeated() const;

    /** Sets whether responses contain the era. */
    void setReportingEra(bool isReporting) { m_isReportingEra = isReporting; }

    /** Sets the maximum number of keys in one page of a range. */
    void setPageSize(std::size_t maximumKeys) { m_pageSize = maximumKeys; }

    /** Sets the size of the changes in one response of a watch from which the others follow in the
        next one. */
    void setWatchResponseBytes(std::size_t bytes) { m_watchResponseBytes = bytes; }

    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }
    [[nodiscard]] std::uint64_t era() const noexcept { return m_era; }
    [[nodiscard]] std::uint64_t callCount() const noexcept { return m_callCount; }
    [[nodiscard]] std::size_t keyCount(const std::string &prefix) const;
    /** Returns the keys that begin with a prefix, in order. */
    [[nodiscard]] std::vector<std::string> keys(const std::string &prefix) const;

private:
    struct stored_entry
    {
        std::string value;
        std::uint64_t modifiedRevision = 0;
        std::uint64_t createdRevision = 0;
        std::uint64_t lease = 0;
    };
    struct change
    {
        std::uint64_t revision = 0;
        std::string key;
        /** Its event in the responses of watches, which many hosts get. */
        std::string event;
    };
    struct lease
    {
        duration lifetime;
        std::unique_ptr<net::timer> expiry;
    };
    /** What a copy of the store holds. */
    struct content
    {
        std::map<std::string, stored_entry> entries;
        std::vector<change> changes;
        std::uint64_t revision = 1;
        std::uint64_t oldestRetainedRevision = 0;
        std::uint64_t lastLeaseId = 100;
        std::map<std::uint64_t, duration> leaseLifetimes;
    };
    struct waiting_watch;

    /** Returns a key as it is written to responses. */
    static nlohmann::json describe(const std::string &key, const stored_entry &entry);
    /** Returns the present state of the keys of a transaction's conditions. */
    [[nodiscard]] nlohmann::json describeConditions(const nlohmann::json &conditions) const;

    void serve(std::unique_ptr<http::caller_exchange> exchange);
    /** Returns whether a call is to be lost, and records when lost calls are repeated. */
    bool isToBeLost(std::string_view path);
    void serveRange(http::caller_exchange &exchange);
    void serveWatch(std::unique_ptr<http::caller_exchange> exchange);
    void serveTransaction(http::caller_exchange &exchange);
    void grantLease(http::caller_exchange &exchange);
    void renewLease(http::caller_exchange &exchange, std::uint64_t id);
    void removeLease(std::uint64_t id);
    void putWithLease(const std::string &key, const std::string &value, std::uint64_t leaseId);
    void startLease(std::uint64_t id, duration lifetime);
    void respond(http::caller_exchange &exchange, int status, const std::string &body = "{}");
    void answerWatches();
    /** Responds if there are matching changes, the history was compacted or it has timed out. */
    bool answerWatch(waiting_watch &watch, bool hasTimedOut);

    net::loop &m_loop;
    const clock &m_clock;
    store_mode m_mode = store_mode::Serving;
    std::map<std::string, stored_entry> m_entries;
    std::vector<change> m_changes;
    std::uint64_t m_revision = 1;
    std::uint64_t m_oldestRetainedRevision = 0;
    std::uint64_t m_lastLeaseId = 100;
    std::uint64_t m_era = 1;
    bool m_isReportingEra = true;
    content m_copy;
    std::uint64_t m_callCount = 0;
    std::string m_lostPathPrefix;
    std::string m_closedPathPrefix;
    std::optional<time_point> m_callLostAt;
    std::optional<time_point> m_lostCallRepeatedAt;
    std::size_t m_pageSize = 50;
    std::size_t m_watchResponseBytes = std::numeric_limits<std::size_t>::max();
    std::map<std::uint64_t, lease> m_leases;
    std::list<std::unique_ptr<waiting_watch>> m_watches;
    std::list<std::unique_ptr<http::caller_exchange>> m_unanswered;
    http::caller_server m_server;
};

} // namespace mustardcourse::standins
