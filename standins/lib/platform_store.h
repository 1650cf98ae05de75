#pragma once

#include <mustardcourse/http/caller_server.h>

#include <list>
#include <map>
#include <memory>
#include <string>

namespace mustardcourse::standins {

/** How the store stand-in treats calls. */
enum class store_mode {
    Serving,
    /** Refuses every call and does nothing. */
    Busy,
    /** Takes calls and never answers. */
    Silent,
    /** Does what a write asks for and never answers it; reads are served. */
    AnswersLost,
};

/**
    A stand-in of the platform's store: keys with revisions, ranges, watches, transactions, leases.

    It speaks the platform's published protocol, as far as hosts use it.
*/
class platform_store
{
public:
    platform_store(net::loop &loop, const clock &clock, const endpoint &address);
    ~platform_store();
    platform_store(const platform_store &) = delete;
    platform_store &operator=(const platform_store &) = delete;

    /** Writes a key, as the operator or a target would. */
    void put(const std::string &key, const std::string &value);

    /** Deletes a key. */
    void erase(const std::string &key);

    void setMode(store_mode mode);

    /** Drops all changes so far, so that watches have to list anew. */
    void forgetHistory();

    /** Sets how many keys one page of a range holds. */
    void setPageSize(std::size_t keys) { m_pageSize = keys; }

    [[nodiscard]] std::uint64_t callCount() const noexcept { return m_calls; }
    [[nodiscard]] std::size_t keyCount(const std::string &prefix) const;

private:
    struct item
    {
        std::string value;
        std::uint64_t changed = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct change
    {
        std::uint64_t revision = 0;
        std::string key;
        std::string value;
        bool isDeleted = false;
    };
    struct lease
    {
        duration lifetime;
        std::unique_ptr<net::timer> expiry;
    };
    struct waiting_watch;

    void serve(std::unique_ptr<http::caller_exchange> exchange);
    void serveRange(http::caller_exchange &exchange);
    void serveWatch(std::unique_ptr<http::caller_exchange> exchange);
    void serveTransaction(http::caller_exchange &exchange);
    void grantLease(http::caller_exchange &exchange);
    void keepLease(http::caller_exchange &exchange, std::uint64_t id);
    void endLease(std::uint64_t id);
    void putWithLease(const std::string &key, const std::string &value, std::uint64_t leaseId);
    void wakeWatches();
    bool answerWatch(waiting_watch &watch, bool isOver);

    net::loop &m_loop;
    const clock &m_clock;
    store_mode m_mode = store_mode::Serving;
    std::map<std::string, item> m_items;
    std::vector<change> m_changes;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyFrom = 0;
    std::uint64_t m_lastLease = 100;
    std::uint64_t m_calls = 0;
    std::size_t m_pageSize = 50;
    std::map<std::uint64_t, lease> m_leases;
    std::list<std::unique_ptr<waiting_watch>> m_watches;
    std::list<std::unique_ptr<http::caller_exchange>> m_unanswered;
    http::caller_server m_server;
};

} // namespace mustardcourse::standins
