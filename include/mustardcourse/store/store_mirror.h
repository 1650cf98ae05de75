#pragma once

#include <mustardcourse/core/log.h>
#include <mustardcourse/net/loop.h>
#include <mustardcourse/store/store_port.h>

#include <algorithm>
#include <concepts>
#include <map>
#include <set>

namespace mustardcourse::store {

/** A store whose keys can be listed and watched. */
template <typename Store>
concept watchable_store = requires(Store &store, std::string_view prefix, std::string_view after,
                                   revision since, duration wait, batch_handler handler)
{
    store.list(prefix, after, handler);
    store.watch(prefix, since, wait, handler);
};

/** Who is told of the keys of a mirror. */
class mirror_listener
{
public:
    virtual ~mirror_listener() = default;

    /** A key has a new value. */
    virtual void onKeyUpdated(const std::string &key, const std::string &value) = 0;

    /** A key is gone for certain. */
    virtual void onKeyRemoved(const std::string &key) = 0;

    /** The mirror holds everything for the first time. */
    virtual void onInitialListingComplete() = 0;
};

/** Settings of a mirror. */
struct mirror_settings
{
    /** Prefixes of the keys that are listed at first. */
    std::vector<std::string> prefixes;
    /** Prefix of the watch, which covers all of them. */
    std::string watchedPrefix;
    /** Keys that lapse while the store is away are written again by their owners within this time
        of its return; until then they count as present. */
    duration lapseGrace = std::chrono::milliseconds(2300);
    /** How long one watch waits for a change. A watch that the store has swallowed during an outage
        shows only by its end, so this bounds how long a host may miss changes afterwards. */
    duration watchTime = std::chrono::milliseconds(5500);
    /** Pause between two watches, so that one answer tells of several changes: the store counts
        every call, and changes come in bursts. */
    duration watchPause = std::chrono::milliseconds(500);
    duration firstRetry = std::chrono::milliseconds(100);
    duration longestRetry = std::chrono::milliseconds(800);
};

/**
    Follows keys of the store: lists them, then watches for changes, and lists again whenever the
    store no longer keeps the changes that are missing.

    What was seen stays valid while the store is away. A value never goes back to an older revision.
    Keys that vanish around an outage are told as gone only when their owners had time to return.
*/
template <watchable_store Store>
class store_mirror
{
public:
    store_mirror(net::loop &loop, const clock &clock, const logger &log, Store &store,
                 mirror_listener &listener, mirror_settings settings);

    /** Begins to follow. */
    void start() { list(0, ""); }

    /** Notes that some other call to the store had no answer, so that lapses are expected. */
    void recordStoreFailure();

    [[nodiscard]] bool isComplete() const noexcept { return m_isComplete; }

private:
    void list(std::size_t prefix, const std::string &after);
    void takePage(std::size_t prefix, store_batch &&page);
    void completeListing();
    void watch();
    void takeChanges(store_batch &&changes);
    void apply(store_item &&item);
    void lose(const std::string &key);
    void retry(store_failure failure, std::string_view call);
    void noteAnswer();
    void expireLapsed();

    net::loop &m_loop;
    const clock &m_clock;
    const logger &m_log;
    Store &m_store;
    mirror_listener &m_listener;
    mirror_settings m_settings;
    std::map<std::string, revision> m_known;
    /** Keys that vanished around an outage, with the time at which they count as gone. */
    std::map<std::string, time_point> m_lapsed;
    std::set<std::string> m_listed;
    revision m_seen;
    revision m_listingSince;
    bool m_isComplete = false;
    bool m_isListingNeeded = true;
    bool m_isAway = false;
    time_point m_awayUntil;
    duration m_nextRetry;
    net::timer m_callTimer;
    net::timer m_lapseTimer;
};

template <watchable_store Store>
store_mirror<Store>::store_mirror(net::loop &loop, const clock &clock, const logger &log,
                                  Store &store, mirror_listener &listener, mirror_settings settings)
    : m_loop(loop)
    , m_clock(clock)
    , m_log(log)
    , m_store(store)
    , m_listener(listener)
    , m_settings(std::move(settings))
    , m_awayUntil(clock.now() - m_settings.lapseGrace)
    , m_nextRetry(m_settings.firstRetry)
    , m_callTimer(loop,
                  [this] {
                      if (m_isListingNeeded)
                          list(0, "");
                      else
                          watch();
                  })
    , m_lapseTimer(loop, [this] { expireLapsed(); })
{ }

template <watchable_store Store>
void store_mirror<Store>::recordStoreFailure()
{
    if (!m_isAway)
        m_log.warning("store-lost", {{"revision", m_seen.value()}});
    m_isAway = true;
    m_awayUntil = m_clock.now();
}

template <watchable_store Store>
void store_mirror<Store>::noteAnswer()
{
    m_nextRetry = m_settings.firstRetry;
    if (!m_isAway)
        return;
    m_isAway = false;
    m_awayUntil = m_clock.now();
    m_log.info("store-regained", {{"revision", m_seen.value()}});
}

template <watchable_store Store>
void store_mirror<Store>::retry(store_failure failure, std::string_view call)
{
    recordStoreFailure();
    m_log.limited("store-call-failed", {{"call", call}, {"failure", nameOf(failure)}});
    m_callTimer.start(m_nextRetry);
    // Nothing can be served before the first listing, so it does not back off.
    if (m_isComplete)
        m_nextRetry = std::min(2 * m_nextRetry, m_settings.longestRetry);
}

template <watchable_store Store>
void store_mirror<Store>::list(std::size_t prefix, const std::string &after)
{
    if (prefix == 0 && after.empty()) {
        m_listed.clear();
        m_listingSince = revision();
        m_isListingNeeded = true;
    }
    m_store.list(m_settings.prefixes[prefix], after,
                 [this, prefix](store_batch &&page) { takePage(prefix, std::move(page)); });
}

template <watchable_store Store>
void store_mirror<Store>::takePage(std::size_t prefix, store_batch &&page)
{
    if (page.failure != store_failure::None)
        return retry(page.failure, "list");
    noteAnswer();
    // Pages are no snapshot, so the watch starts at the revision of the first one.
    if (m_listingSince == revision())
        m_listingSince = page.currentRevision;
    const std::string last = page.items.empty() ? std::string() : page.items.back().key;
    for (store_item &item : page.items) {
        m_listed.insert(item.key);
        apply(std::move(item));
    }
    if (page.hasMorePages && !last.empty())
        return list(prefix, last);
    if (prefix + 1 < m_settings.prefixes.size())
        return list(prefix + 1, "");
    completeListing();
}

template <watchable_store Store>
void store_mirror<Store>::completeListing()
{
    std::vector<std::string> missing;
    for (const auto &[key, modRevision] : m_known) {
        if (!m_listed.contains(key))
            missing.push_back(key);
    }
    for (const std::string &key : missing)
        lose(key);
    m_seen = std::max(m_seen, m_listingSince);
    m_isListingNeeded = false;
    m_log.info("store-listed", {{"keys", m_listed.size()}, {"revision", m_seen.value()}});
    if (!m_isComplete) {
        m_isComplete = true;
        m_listener.onInitialListingComplete();
    }
    watch();
}

template <watchable_store Store>
void store_mirror<Store>::watch()
{
    m_store.watch(m_settings.watchedPrefix, m_seen, m_settings.watchTime,
                  [this](store_batch &&changes) { takeChanges(std::move(changes)); });
}

template <watchable_store Store>
void store_mirror<Store>::takeChanges(store_batch &&changes)
{
    if (changes.failure == store_failure::HistoryCompacted) {
        m_log.info("store-history-gone", {{"revision", m_seen.value()}});
        return list(0, "");
    }
    if (changes.failure != store_failure::None)
        return retry(changes.failure, "watch");
    noteAnswer();
    for (store_item &item : changes.items)
        apply(std::move(item));
    m_seen = std::max(m_seen, changes.currentRevision);
    m_callTimer.start(changes.items.empty() ? duration::zero() : m_settings.watchPause);
}

template <watchable_store Store>
void store_mirror<Store>::apply(store_item &&item)
{
    const bool isMirrored =
        std::any_of(m_settings.prefixes.begin(), m_settings.prefixes.end(),
                    [&](const std::string &prefix) { return item.key.starts_with(prefix); });
    if (!isMirrored)
        return;
    const auto known = m_known.find(item.key);
    const bool isOlder = known != m_known.end() && item.modRevision < known->second;
    if (isOlder)
        return;
    if (item.isDeleted)
        return lose(item.key);
    const bool isLapsed = m_lapsed.erase(item.key) > 0;
    const bool isNews = known == m_known.end() || known->second < item.modRevision;
    m_known[item.key] = item.modRevision;
    if (isNews || isLapsed)
        m_listener.onKeyUpdated(item.key, item.value);
}

template <watchable_store Store>
void store_mirror<Store>::lose(const std::string &key)
{
    if (!m_known.contains(key))
        return;
    const time_point settled = m_awayUntil + m_settings.lapseGrace;
    if (!m_isAway && m_clock.now() >= settled) {
        m_known.erase(key);
        m_listener.onKeyRemoved(key);
        return;
    }
    if (!m_lapsed.emplace(key, settled).second)
        return;
    m_log.info("key-lapsed", {{"key", key}});
    m_lapseTimer.start(settled - m_clock.now());
}

template <watchable_store Store>
void store_mirror<Store>::expireLapsed()
{
    const time_point settled = m_awayUntil + m_settings.lapseGrace;
    if (m_isAway || m_clock.now() < settled) {
        m_lapseTimer.start(m_isAway ? m_settings.lapseGrace : settled - m_clock.now());
        return;
    }
    const auto lapsed = std::exchange(m_lapsed, {});
    for (const auto &[key, since] : lapsed) {
        m_known.erase(key);
        m_listener.onKeyRemoved(key);
    }
}

} // namespace mustardcourse::store
