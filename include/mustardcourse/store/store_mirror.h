#pragma once

#include <mustardcourse/core/log.h>
#include <mustardcourse/core/retry_backoff.h>
#include <mustardcourse/net/loop.h>
#include <mustardcourse/store/outage_tracker.h>
#include <mustardcourse/store/store_port.h>

#include <algorithm>
#include <concepts>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace mustardcourse::store {

/** A store whose keys can be listed and watched. */
template <typename Store>
concept watchable_store = requires(Store &store, std::string_view prefix, std::string_view after,
                                   const store_position &since, duration wait,
                                   batch_handler handler)
{
    store.list(prefix, after, handler);
    store.watch(prefix, since, wait, handler);
};

/** How far a mirror has followed the store, for metrics. */
struct mirror_progress
{
    /** The mirror reflects the store up to this position. */
    store_position position;
    std::size_t completedListings = 0;
    /** Restores of the store from an older copy that were noticed. */
    std::size_t restores = 0;
    /** Items that were not applied, as the mirror has a newer revision of their key. */
    std::size_t outdatedItems = 0;
};

/** Receives notifications of the keys of a mirror. */
class mirror_listener
{
public:
    virtual ~mirror_listener() = default;

    /** Called when a key is added or has a new value. */
    virtual void onKeyUpdated(const std::string &key, const std::string &value) = 0;

    /** Called when a key is definitely removed, not just missing around an outage of the store. */
    virtual void onKeyRemoved(const std::string &key) = 0;

    /** Called after the updates and removals of one response, or of keys whose time to come back
       has passed. */
    virtual void onBatchApplied() { }

    /** Called once, when the first listing is complete. */
    virtual void onInitialListingComplete() = 0;
};

struct mirror_settings
{
    /** Prefixes of the keys that are mirrored. */
    std::vector<std::string> prefixes;
    /** Common prefix of all mirrored keys, used for the watch. */
    std::string watchedPrefix;
    /** Owners of keys that expire during an outage of the store write them again within this time
        after it recovers; until then the keys count as present. */
    duration expiryGracePeriod = std::chrono::milliseconds(2300);
    /** A key expires after three writes of its owner have failed, which are 1.2 s apart; so none
        expires in a shorter outage. */
    duration minimumOutage = std::chrono::seconds(1);
    /** How long one watch waits for a change. A watch that the store took and lost in the last
        moment of an outage is only detected at its end, and by then a host that counts as
        undisturbed, 4 s after the outage, has to follow what was confirmed early on. */
    duration watchDuration = std::chrono::milliseconds(2700);
    /** Wait of the watch after one that failed, which shows whether the store serves. */
    duration checkDuration = std::chrono::milliseconds(1);
    /** A store that serves answers a read within this time. */
    duration maximumCheckTime = std::chrono::milliseconds(500);
    /** Pause after changes, so that one response of the next watch covers several of them: the
        store meters every call, and changes come in bursts. */
    duration watchPause = std::chrono::milliseconds(500);
    /** Size of the changes in a response from which the next watch follows without a pause, as the
        store may hold more of them. */
    std::size_t largeResponseBytes = std::size_t{512} * 1024;
    duration initialRetryDelay = std::chrono::milliseconds(100);
    duration maximumRetryDelay = std::chrono::milliseconds(800);
};

/**
    Mirrors keys of the store: lists them, then watches for changes, and lists them again whenever
    the store has compacted changes that the mirror has not received, or was restored from an older
    copy.

    What counts is the newest value of each key: of several changes of a key in one response only
    the last is applied, and a mirror that is far behind lists the keys instead of reading all that
    it has missed.

    Mirrored values stay valid while the store is unreachable. Within an era of the store, a value
    is never replaced by one of an older revision. Keys that disappear around an outage or a restore
    are reported as removed only after their owners had time to write them again. A call that fails
    while the store serves does not prolong this time. @see outage_tracker
*/
template <watchable_store Store>
class store_mirror
{
public:
    store_mirror(net::loop &loop, const clock &clock, const logger &log, Store &store,
                 mirror_listener &listener, mirror_settings settings);

    /** Starts the first listing; call once. */
    void start() { list(0, ""); }

    /** Records that another call of this host to the store has failed, so that keys may expire
        although their owners are alive. */
    void recordStoreFailure();

    /** Lists the keys again if they are of another era of the store. Another call may learn of a
        new era before the watch does, which may never be answered. */
    void onNewEra(store_era era);

    /** Applies the present state of keys that a call of this host has learned. If such a key is
        removed before the next watch, the response of that names only the removal, which then is
        reported. */
    void observe(std::vector<store_item> &&items);

    /** Returns where the present value of a key was written; nothing if there is none. */
    [[nodiscard]] std::optional<store_position> positionOf(const std::string &key) const;

    [[nodiscard]] bool isComplete() const noexcept { return m_isComplete; }
    [[nodiscard]] const mirror_progress &progress() const noexcept { return m_progress; }

private:
    void list(std::size_t prefixIndex, const std::string &after);
    void onPage(std::size_t prefixIndex, store_batch &&page);
    void completeListing();
    void watch();
    void onChanges(store_batch &&changes);
    /** Lists the keys, as there are more changes than are worth reading. */
    void catchUp();
    [[nodiscard]] bool isOfOtherHistory(const store_position &current) const;
    void beginHistory(const store_position &current);
    void apply(store_item &&item);
    void handleMissing(const std::string &key);
    /** @param since  from when the store did not serve @see outage_tracker */
    void recordFailedCall(time_point since, store_failure failure, std::string_view call);
    void retry(store_failure failure, std::string_view call);
    void recordStoreResponse();
    void reportPossibleOutage();
    /** Gives the owners of all missing keys the whole time to write them again. */
    void restartGracePeriod();
    /** Returns when the next missing key is removed; time_point::max() if none is missing. */
    [[nodiscard]] time_point nextRemovalTime() const;
    void startGraceTimer();
    /** Asks whether the store serves at the end of a grace period, as an outage that began in it
       may not have been noticed. */
    void confirmRemovals();
    void onRemovalsConfirmed(time_point askedAt, store_failure failure);
    /** Removes the missing keys whose grace period has ended. */
    void removeMissingKeys();

    net::loop &m_loop;
    const clock &m_clock;
    const logger &m_log;
    Store &m_store;
    mirror_listener &m_listener;
    mirror_settings m_settings;
    std::map<std::string, store_position> m_positions;
    /** Keys that disappeared around an outage, and when they are removed. */
    std::map<std::string, time_point> m_missingKeys;
    bool m_isConfirmationPending = false;
    /** Until when a key that disappears may have expired in an outage. */
    time_point m_graceEnd;
    std::set<std::string> m_listedKeys;
    mirror_progress m_progress;
    /** The position of the first page of the present listing. */
    std::optional<store_position> m_listingPosition;
    /** Identifies the latest watch; responses to earlier ones are ignored. */
    std::uint64_t m_watchNumber = 0;
    /** Whether the last watch failed because its changes had been compacted. */
    bool m_wasHistoryCompacted = false;
    bool m_isComplete = false;
    bool m_isListingNeeded = true;
    outage_tracker m_outages;
    /** Whether a possible outage was logged, and not its end. */
    bool m_isOutageReported = false;
    retry_backoff m_confirmationBackoff;
    retry_backoff m_retryBackoff;
    net::timer m_callTimer;
    net::timer m_graceTimer;
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
    , m_graceEnd(clock.now())
    , m_outages(m_settings.minimumOutage, clock.now())
    , m_confirmationBackoff(m_settings.initialRetryDelay, m_settings.expiryGracePeriod)
    , m_retryBackoff(m_settings.initialRetryDelay, m_settings.maximumRetryDelay)
    , m_callTimer(loop,
                  [this] {
                      if (m_isListingNeeded)
                          list(0, "");
                      else
                          watch();
                  })
    , m_graceTimer(loop, [this] { confirmRemovals(); })
{ }

template <watchable_store Store>
void store_mirror<Store>::recordStoreFailure()
{
    m_outages.recordOtherFailure();
    reportPossibleOutage();
}

template <watchable_store Store>
void store_mirror<Store>::reportPossibleOutage()
{
    if (m_isOutageReported || !m_outages.isPossible(m_clock.now()))
        return;
    m_isOutageReported = true;
    m_log.warning("store-lost", {{"revision", m_progress.position.number().value()}});
}

template <watchable_store Store>
void store_mirror<Store>::recordStoreResponse()
{
    const time_point now = m_clock.now();
    const duration silence = m_outages.silence(now);
    if (m_outages.isPossible(now))
        m_graceEnd = now + m_settings.expiryGracePeriod;
    if (m_outages.isCertain(now))
        restartGracePeriod();
    m_outages.recordResponse(now);
    m_retryBackoff.reset();
    if (std::exchange(m_isOutageReported, false))
        m_log.info(
            "store-regained",
            {{"revision", m_progress.position.number().value()},
             {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(silence).count()}});
}

template <watchable_store Store>
void store_mirror<Store>::recordFailedCall(time_point since, store_failure failure,
                                           std::string_view call)
{
    m_outages.recordFailure(since);
    reportPossibleOutage();
    m_log.writeRateLimited("store-call-failed", {{"call", call}, {"failure", nameOf(failure)}});
}

template <watchable_store Store>
void store_mirror<Store>::retry(store_failure failure, std::string_view call)
{
    recordFailedCall(m_clock.now(), failure, call);
    // Nothing can be served before the first listing completes, so it is retried without backoff.
    m_callTimer.start(m_isComplete ? m_retryBackoff.next() : m_settings.initialRetryDelay);
}

template <watchable_store Store>
void store_mirror<Store>::list(std::size_t prefixIndex, const std::string &after)
{
    if (prefixIndex == 0 && after.empty()) {
        m_listedKeys.clear();
        m_listingPosition.reset();
        m_isListingNeeded = true;
    }
    m_store.list(m_settings.prefixes[prefixIndex], after,
                 [this, prefixIndex](store_batch &&page) { onPage(prefixIndex, std::move(page)); });
}

template <watchable_store Store>
void store_mirror<Store>::onPage(std::size_t prefixIndex, store_batch &&page)
{
    if (page.failure != store_failure::None)
        return retry(page.failure, "list");
    recordStoreResponse();
    const bool isFirstPage = !m_listingPosition;
    if (isOfOtherHistory(page.current)) {
        beginHistory(page.current);
        if (!isFirstPage)
            return list(0, "");
    }
    // Pages are not one snapshot, so the watch starts at the position of the first page.
    if (isFirstPage)
        m_listingPosition = page.current;
    const std::string last = page.items.empty() ? std::string() : page.items.back().key;
    for (store_item &item : page.items) {
        m_listedKeys.insert(item.key);
        apply(std::move(item));
    }
    m_listener.onBatchApplied();
    if (page.hasMorePages && !last.empty())
        return list(prefixIndex, last);
    if (prefixIndex + 1 < m_settings.prefixes.size())
        return list(prefixIndex + 1, "");
    completeListing();
}

template <watchable_store Store>
void store_mirror<Store>::completeListing()
{
    std::vector<std::string> missing;
    for (const auto &[key, position] : m_positions) {
        const bool wasWrittenMeanwhile = m_listingPosition->isBefore(position);
        if (!m_listedKeys.contains(key) && !wasWrittenMeanwhile)
            missing.push_back(key);
    }
    for (const std::string &key : missing)
        handleMissing(key);
    m_listener.onBatchApplied();
    if (!m_listingPosition->isBefore(m_progress.position))
        m_progress.position = *m_listingPosition;
    m_listingPosition.reset();
    m_isListingNeeded = false;
    ++m_progress.completedListings;
    m_log.info("store-listed",
               {{"keys", m_listedKeys.size()}, {"revision", m_progress.position.number().value()}});
    if (!m_isComplete) {
        m_isComplete = true;
        m_listener.onInitialListingComplete();
    }
    watch();
}

template <watchable_store Store>
void store_mirror<Store>::watch()
{
    const std::uint64_t number = ++m_watchNumber;
    const duration wait =
        m_outages.isFailing() ? m_settings.checkDuration : m_settings.watchDuration;
    m_store.watch(m_settings.watchedPrefix, m_progress.position, wait,
                  [this, number](store_batch &&changes) {
                      if (number == m_watchNumber)
                          onChanges(std::move(changes));
                  });
}

template <watchable_store Store>
void store_mirror<Store>::onChanges(store_batch &&changes)
{
    if (changes.failure == store_failure::HistoryCompacted) {
        m_log.info("store-history-gone", {{"revision", m_progress.position.number().value()}});
        const bool isRepeated = std::exchange(m_wasHistoryCompacted, true);
        if (!isRepeated)
            return list(0, "");
        // A store that lacks what it has just listed must not be called in a tight loop.
        m_isListingNeeded = true;
        m_callTimer.start(m_settings.maximumRetryDelay);
        return;
    }
    if (changes.failure == store_failure::Oversized) {
        recordStoreResponse();
        return catchUp();
    }
    if (changes.failure != store_failure::None)
        return retry(changes.failure, "watch");
    recordStoreResponse();
    if (isOfOtherHistory(changes.current)) {
        beginHistory(changes.current);
        return list(0, "");
    }
    m_wasHistoryCompacted = false;
    const bool isLarge = payloadSize(changes) >= m_settings.largeResponseBytes;
    const std::vector<std::size_t> newest = newestItems(changes.items);
    for (const std::size_t index : newest)
        apply(std::move(changes.items[index]));
    m_listener.onBatchApplied();
    m_progress.position = changes.current;
    const bool hasReplacedItems = newest.size() < changes.items.size();
    if (isLarge && hasReplacedItems)
        return catchUp();
    const bool isPauseNeeded = !newest.empty() && !isLarge;
    m_callTimer.start(isPauseNeeded ? m_settings.watchPause : duration::zero());
}

template <watchable_store Store>
void store_mirror<Store>::catchUp()
{
    m_log.info("store-far-behind", {{"revision", m_progress.position.number().value()}});
    list(0, "");
}

template <watchable_store Store>
bool store_mirror<Store>::isOfOtherHistory(const store_position &current) const
{
    const bool isFirstResponse = !m_isComplete && !m_listingPosition;
    if (isFirstResponse)
        return false;
    const store_position &known = m_listingPosition ? *m_listingPosition : m_progress.position;
    // The store's revision only decreases if it was restored, whether it reports an era or not.
    return !current.isSameEra(known) || current.isBefore(known);
}

template <watchable_store Store>
void store_mirror<Store>::observe(std::vector<store_item> &&items)
{
    for (store_item &item : items) {
        // Before the first listing, or in an era that the mirror has not begun, a listing follows
        // that shows whether the key still exists.
        const bool isReflected = item.modified.isSameEra(m_progress.position)
            && !m_progress.position.isBefore(item.modified);
        const bool wasRemovedSince = isReflected && !m_positions.contains(item.key);
        if (!wasRemovedSince)
            apply(std::move(item));
        else if (!item.isDeleted)
            m_listener.onKeyRemoved(item.key);
    }
    m_listener.onBatchApplied();
}

template <watchable_store Store>
std::optional<store_position> store_mirror<Store>::positionOf(const std::string &key) const
{
    const auto found = m_positions.find(key);
    return found == m_positions.end() ? std::nullopt : std::optional(found->second);
}

template <watchable_store Store>
void store_mirror<Store>::beginHistory(const store_position &current)
{
    m_log.warning("store-restored",
                  {{"era", current.era().value()},
                   {"revision", current.number().value()},
                   {"known_era", m_progress.position.era().value()},
                   {"known_revision", m_progress.position.number().value()}});
    ++m_progress.restores;
    // What was written since the copy is lost, and its owners write it again, as after an outage.
    m_graceEnd = m_clock.now() + m_settings.expiryGracePeriod;
    restartGracePeriod();
    const store_position beginning(current.era(), revision());
    for (auto &[key, position] : m_positions)
        position = beginning;
    m_progress.position = beginning;
}

template <watchable_store Store>
void store_mirror<Store>::onNewEra(store_era era)
{
    const bool isWatching = m_isComplete && !m_isListingNeeded;
    if (!isWatching || era == m_progress.position.era())
        return;
    ++m_watchNumber;
    m_callTimer.stop();
    list(0, "");
}

template <watchable_store Store>
void store_mirror<Store>::apply(store_item &&item)
{
    const bool isMirrored =
        std::any_of(m_settings.prefixes.begin(), m_settings.prefixes.end(),
                    [&](const std::string &prefix) { return item.key.starts_with(prefix); });
    if (!isMirrored)
        return;
    const auto existing = m_positions.find(item.key);
    const bool isOlder = existing != m_positions.end() && item.modified.isBefore(existing->second);
    if (isOlder) {
        ++m_progress.outdatedItems;
        m_log.writeRateLimited("store-item-outdated",
                               {{"key", item.key},
                                {"revision", item.modified.number().value()},
                                {"known_revision", existing->second.number().value()}});
        return;
    }
    if (item.isDeleted)
        return handleMissing(item.key);
    const bool wasMissing = m_missingKeys.erase(item.key) > 0;
    const bool isNewer = existing == m_positions.end() || existing->second != item.modified;
    m_positions[item.key] = item.modified;
    if (isNewer || wasMissing)
        m_listener.onKeyUpdated(item.key, item.value);
}

template <watchable_store Store>
void store_mirror<Store>::handleMissing(const std::string &key)
{
    if (!m_positions.contains(key)) {
        m_log.writeRateLimited("store-removal-unknown", {{"key", key}});
        return;
    }
    if (m_missingKeys.contains(key))
        return;
    const time_point now = m_clock.now();
    // Another call may tell of the removal while the calls of the mirror fail.
    const time_point graceEnd =
        m_outages.isPossible(now) ? now + m_settings.expiryGracePeriod : m_graceEnd;
    if (now >= graceEnd) {
        m_positions.erase(key);
        m_listener.onKeyRemoved(key);
        return;
    }
    m_log.info("key-lapsed", {{"key", key}});
    m_missingKeys.emplace(key, graceEnd);
    startGraceTimer();
}

template <watchable_store Store>
void store_mirror<Store>::restartGracePeriod()
{
    const time_point graceEnd = m_clock.now() + m_settings.expiryGracePeriod;
    for (auto &[key, removalTime] : m_missingKeys)
        removalTime = graceEnd;
    startGraceTimer();
}

template <watchable_store Store>
time_point store_mirror<Store>::nextRemovalTime() const
{
    time_point next = time_point::max();
    for (const auto &[key, removalTime] : m_missingKeys)
        next = std::min(next, removalTime);
    return next;
}

template <watchable_store Store>
void store_mirror<Store>::startGraceTimer()
{
    if (!m_missingKeys.empty())
        m_graceTimer.start(std::max(nextRemovalTime() - m_clock.now(), duration::zero()));
}

template <watchable_store Store>
void store_mirror<Store>::confirmRemovals()
{
    if (m_isConfirmationPending)
        return;
    const time_point now = m_clock.now();
    if (nextRemovalTime() > now)
        return startGraceTimer();
    m_isConfirmationPending = true;
    m_store.list(m_missingKeys.begin()->first, "",
                 [this, now](store_batch &&page) { onRemovalsConfirmed(now, page.failure); });
}

template <watchable_store Store>
void store_mirror<Store>::onRemovalsConfirmed(time_point askedAt, store_failure failure)
{
    m_isConfirmationPending = false;
    if (failure != store_failure::None) {
        recordFailedCall(askedAt, failure, "confirm");
        m_graceTimer.start(m_confirmationBackoff.next());
        return;
    }
    m_confirmationBackoff.reset();
    recordStoreResponse();
    if (m_clock.now() - askedAt >= m_settings.maximumCheckTime)
        restartGracePeriod();
    removeMissingKeys();
}

template <watchable_store Store>
void store_mirror<Store>::removeMissingKeys()
{
    const time_point now = m_clock.now();
    std::vector<std::string> removedKeys;
    for (const auto &[key, removalTime] : m_missingKeys) {
        if (removalTime <= now)
            removedKeys.push_back(key);
    }
    for (const std::string &key : removedKeys) {
        m_missingKeys.erase(key);
        m_positions.erase(key);
        m_listener.onKeyRemoved(key);
    }
    m_listener.onBatchApplied();
    startGraceTimer();
}

} // namespace mustardcourse::store
