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

/** Shares the suspect requests of this host with the others through the store. */
template <transacting_store Store>
class suspect_sharing
{
public:
    /** @param onTestDecided  called when a request that awaits permission to test has got a result
     */
    suspect_sharing(net::loop &loop, const clock &clock, const logger &log, Store &store,
                    suspect_requests &suspects, suspect_sharing_settings settings,
                    std::function<void()> onTestDecided)
        : m_clock(clock)
        , m_log(log)
        , m_store(store)
        , m_suspects(suspects)
        , m_settings(std::move(settings))
        , m_onTestDecided(std::move(onTestDecided))
        , m_nextCall(clock.now())
        , m_nextTestRequest(clock.now())
        , m_testValuePrefix(fmt::format("{}#{}#", m_settings.host.value(),
                                        clock.wallNow().time_since_epoch().count()))
        , m_timer(loop, [this] { work(); })
    {
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
        m_onTestDecided();
    }

    /** Handles the removal of a key with the prefix. */
    void onKeyRemoved(const std::string &key)
    {
        m_suspects.removeEntry(key.substr(m_settings.prefix.size()));
        m_onTestDecided();
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
        if (m_clock.now() >= m_nextTestRequest) {
            for (const request_fingerprint fingerprint : m_suspects.requestedTests())
                requestTest(fingerprint);
        }
        if (!m_isCallRunning && m_clock.now() >= m_nextCall)
            writeOrRemove();
        schedule();
    }

    void requestTest(request_fingerprint fingerprint)
    {
        if (!m_runningTestRequests.insert(fingerprint).second)
            return;
        const std::string value = m_suspects.beginTestRequest(
            fingerprint, m_testValuePrefix + std::to_string(++m_lastTestNumber));
        const std::string key = m_settings.prefix + suspect_requests::testEntryName(fingerprint);
        m_store.transact({.absentKeys = {key}, .writes = {{key, value}}},
                         [this, fingerprint](store::store_failure failure) {
                             onTestRequested(fingerprint, failure);
                         });
    }

    void onTestRequested(request_fingerprint fingerprint, store::store_failure failure)
    {
        m_runningTestRequests.erase(fingerprint);
        const bool isGranted = failure == store::store_failure::None;
        const bool isDecided = isGranted || failure == store::store_failure::Conflict;
        if (!isDecided) {
            m_nextTestRequest = m_clock.now() + m_settings.retryDelay;
            return postpone(failure);
        }
        m_suspects.endTestRequest(fingerprint, isGranted);
        m_onTestDecided();
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
        const std::vector<store::store_write> writes = transaction.writes;
        m_store.transact(transaction, [this, writes, removed](store::store_failure failure) {
            onCallEnd(writes, removed, failure);
        });
    }

    void onCallEnd(const std::vector<store::store_write> &writes,
                   const std::vector<std::string> &removed, store::store_failure failure)
    {
        m_isCallRunning = false;
        if (failure != store::store_failure::None) {
            if (!removed.empty())
                m_suspects.returnEntriesToRemove(removed);
            return postpone(failure);
        }
        for (const store::store_write &write : writes)
            m_suspects.applyEntry(write.key.substr(m_settings.prefix.size()), write.value);
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
        const bool isTestRequested =
            m_suspects.requestedTests().size() > m_runningTestRequests.size();
        if (isTestRequested)
            next = std::min(next.value_or(m_nextTestRequest), m_nextTestRequest);
        if (next)
            m_timer.start(std::max(*next - now, duration::zero()));
    }

    const clock &m_clock;
    const logger &m_log;
    Store &m_store;
    suspect_requests &m_suspects;
    suspect_sharing_settings m_settings;
    std::function<void()> m_onTestDecided;
    std::size_t m_memberCount = 1;
    bool m_isCallRunning = false;
    /** Earliest time of the next write or removal. */
    time_point m_nextCall;
    std::set<request_fingerprint> m_runningTestRequests;
    /** Earliest time of the next request for a permission to test. */
    time_point m_nextTestRequest;
    /** Part of the values of this process's test entries that no other process has. */
    std::string m_testValuePrefix;
    std::uint64_t m_lastTestNumber = 0;
    net::timer m_timer;
};

} // namespace mustardcourse::serving
