#pragma once

#include <mustardcourse/core/hash.h>
#include <mustardcourse/core/log.h>
#include <mustardcourse/net/loop.h>
#include <mustardcourse/serving/suspect_requests.h>
#include <mustardcourse/store/store_port.h>

#include <fmt/format.h>

#include <concepts>
#include <set>

namespace mustardcourse::serving {

/** A store that makes changes all together or not at all. */
template <typename Store>
concept transacting_store = requires(Store &store, const store::store_transaction &transaction,
                                     store::completion_handler handler)
{
    store.transact(transaction, handler);
};

struct suspect_sharing_settings
{
    /** Prefix of the keys in the store. */
    std::string prefix;
    host_id host;
    /** Entries that all hosts together write in a second at most; tests are not limited. */
    double writesPerSecond = 100;
    /** Delay after a call that failed. */
    duration retryDelay = std::chrono::milliseconds(300);
    /** Time after a restore of the store within which the hosts write again what it has lost, each
        at a moment of its own. */
    duration restoreSpread = std::chrono::milliseconds(1500);
};

/** What suspect_sharing needs of its host. */
struct suspect_sharing_host
{
    /** Returns where the present value of a key was written; nothing if there is none. */
    std::function<std::optional<store::store_position>(const std::string &)> positionOf;
    /** Called when a request that awaits permission to test may have got a result. */
    std::function<void()> onTestDecided;
};

/** Shares the suspect requests of this host with the others through the store. */
template <transacting_store Store>
class suspect_sharing
{
public:
    suspect_sharing(net::loop &loop, const clock &clock, const logger &log, Store &store,
                    suspect_requests &suspects, suspect_sharing_settings settings,
                    suspect_sharing_host host)
        : m_clock(clock)
        , m_log(log)
        , m_store(store)
        , m_suspects(suspects)
        , m_settings(std::move(settings))
        , m_host(std::move(host))
        , m_nextCall(clock.now())
        , m_nextTestCall(clock.now())
        , m_timer(loop, [this] { work(); })
    {
        m_suspects.setHolderPrefix(fmt::format("{}#{}#", m_settings.host.value(),
                                               clock.wallNow().time_since_epoch().count()));
        m_suspects.onChange([this] { schedule(); });
    }

    /** Sets how many hosts share the rate of writes. */
    void setMemberCount(std::size_t count) noexcept
    {
        m_memberCount = std::max<std::size_t>(count, 1);
    }

    /** Handles a key with the prefix that has a new value. */
    void onKeyUpdated(const std::string &key, const std::string &value)
    {
        m_suspects.applyEntry(key.substr(m_settings.prefix.size()), value);
        m_host.onTestDecided();
    }

    /** Handles the removal of a key with the prefix. */
    void onKeyRemoved(const std::string &key)
    {
        m_suspects.removeEntry(key.substr(m_settings.prefix.size()));
        m_host.onTestDecided();
    }

    /** Handles the restore of the store from an older copy, which may lack entries. */
    void onNewEra()
    {
        constexpr std::int64_t steps = 1024;
        const auto step = static_cast<std::int64_t>(stableHash(m_settings.host.value()) % steps);
        m_suspects.writeAgain(m_settings.restoreSpread * step / steps);
    }

private:
    void work()
    {
        if (m_clock.now() >= m_nextTestCall) {
            for (const request_fingerprint fingerprint : m_suspects.requestedTests())
                requestTest(fingerprint);
            for (const request_fingerprint fingerprint : m_suspects.returnedTests())
                returnTest(fingerprint);
        }
        if (!m_isCallRunning && m_clock.now() >= m_nextCall)
            writeOrRemove();
        schedule();
    }

    void requestTest(request_fingerprint fingerprint)
    {
        if (!m_runningTestCalls.insert(fingerprint).second)
            return;
        const suspect_entry requested = m_suspects.beginTestRequest(fingerprint);
        const std::string key = m_settings.prefix + requested.name;
        store::store_transaction transaction{.writes = {{key, requested.value}}};
        if (const auto position = m_host.positionOf(key))
            transaction.unchangedKeys.push_back({key, *position});
        else
            transaction.absentKeys.push_back(key);
        m_store.transact(transaction, [this, fingerprint](store::store_failure failure) {
            onTestCallEnd("suspect-test-requested", fingerprint, failure);
        });
    }

    void returnTest(request_fingerprint fingerprint)
    {
        if (!m_runningTestCalls.insert(fingerprint).second)
            return;
        const returned_test returned = m_suspects.beginTestReturn(fingerprint);
        const std::string key = m_settings.prefix + returned.name;
        const auto position = m_host.positionOf(key);
        if (!position) {
            m_runningTestCalls.erase(fingerprint);
            m_suspects.endTestReturn(fingerprint);
            return m_host.onTestDecided();
        }
        store::store_transaction transaction{.unchangedKeys = {{key, *position}}};
        if (returned.formerValue)
            transaction.writes.push_back({key, *returned.formerValue});
        else
            transaction.removedKeys.push_back(key);
        m_store.transact(transaction, [this, fingerprint](store::store_failure failure) {
            if (failure == store::store_failure::None)
                m_suspects.endTestReturn(fingerprint);
            onTestCallEnd("suspect-test-returned", fingerprint, failure);
        });
    }

    /** Handles the end of a call that requests or returns the permission to test. The mirror of the
        store has already reported the entry if the response tells it. */
    void onTestCallEnd(std::string_view event, request_fingerprint fingerprint,
                       store::store_failure failure)
    {
        m_runningTestCalls.erase(fingerprint);
        m_log.writeRateLimited(event,
                               {{"request", textOf(fingerprint)}, {"result", nameOf(failure)}});
        // After a conflict the entry is known soon, if it isn't yet.
        if (failure != store::store_failure::None)
            m_nextTestCall = m_clock.now() + m_settings.retryDelay;
        m_host.onTestDecided();
        schedule();
    }

    void writeOrRemove()
    {
        store::store_transaction transaction;
        for (const suspect_entry &entry : m_suspects.entriesToWrite())
            transaction.writes.push_back({m_settings.prefix + entry.name, entry.value});
        std::vector<std::string> removed;
        if (transaction.writes.empty())
            removed = m_suspects.takeEntriesToRemove();
        for (const std::string &name : removed)
            transaction.removedKeys.push_back(m_settings.prefix + name);
        if (transaction.writes.empty() && removed.empty())
            return;
        m_isCallRunning = true;
        const auto interval = std::chrono::duration<double>(static_cast<double>(m_memberCount)
                                                            / m_settings.writesPerSecond);
        m_nextCall = m_clock.now() + std::chrono::duration_cast<duration>(interval);
        m_store.transact(transaction, [this, removed](store::store_failure failure) {
            onCallEnd(removed, failure);
        });
    }

    void onCallEnd(const std::vector<std::string> &removed, store::store_failure failure)
    {
        m_isCallRunning = false;
        if (failure != store::store_failure::None) {
            if (!removed.empty())
                m_suspects.returnEntriesToRemove(removed);
            return postpone(failure);
        }
        schedule();
    }

    void postpone(store::store_failure failure)
    {
        m_log.writeRateLimited("suspect-call-failed", {{"failure", nameOf(failure)}});
        m_nextCall = m_clock.now() + m_settings.retryDelay;
        schedule();
    }

    /** Starts the timer for the next call if there is something to do. */
    void schedule()
    {
        const time_point now = m_clock.now();
        std::optional<time_point> next = m_suspects.nextWrite();
        if (m_suspects.hasEntriesToRemove())
            next = now;
        if (next)
            next = std::max(*next, m_nextCall);
        if (m_isCallRunning)
            next.reset();
        const std::size_t testCalls =
            m_suspects.requestedTests().size() + m_suspects.returnedTests().size();
        if (testCalls > m_runningTestCalls.size())
            next = next ? std::min(*next, m_nextTestCall) : m_nextTestCall;
        if (next)
            m_timer.start(std::max(*next - now, duration::zero()));
    }

    const clock &m_clock;
    const logger &m_log;
    Store &m_store;
    suspect_requests &m_suspects;
    suspect_sharing_settings m_settings;
    suspect_sharing_host m_host;
    std::size_t m_memberCount = 1;
    bool m_isCallRunning = false;
    /** Earliest time of the next write or removal. */
    time_point m_nextCall;
    /** Requests whose permission to test is being requested or returned. */
    std::set<request_fingerprint> m_runningTestCalls;
    /** Earliest time of the next such call. */
    time_point m_nextTestCall;
    net::timer m_timer;
};

} // namespace mustardcourse::serving
