#pragma once

#include <mustardcourse/core/log.h>
#include <mustardcourse/http/timed_exchange.h>
#include <mustardcourse/store/change_relay.h>
#include <mustardcourse/store/store_mirror.h>

#include <algorithm>
#include <map>
#include <vector>

namespace mustardcourse::store {

/** Times of a host that receives changes of the store through a relay. */
struct relayed_store_settings
{
    /** Maximum wait of a watch of the store by a relay, or by a host whose changes are overdue.
        Together with the mirror's pause between watches it bounds the response time of a healthy
        relay. */
    duration relayWatchDuration = std::chrono::milliseconds(1200);
    /** Watches with a shorter wait go to the store itself. */
    duration shortestRelayedWait = std::chrono::milliseconds(100);
    /** Time-out of a request to the relay. If the relay is unresponsive, a change takes effect
        within this time and one call to the store; the platform allows 3 s. */
    duration relayTimeout = std::chrono::milliseconds(2000);
    /** Time after a failure during which the relay is not used. */
    duration relayAvoidanceTime = std::chrono::seconds(10);
};

/**
    A store whose changes are received through the relay of this host's data centre, or from the
    store itself if there is no relay or the relay fails. @see change_relay, chooseRelay
*/
template <watchable_store Store>
class relayed_store
{
public:
    /** @param memory  limits the memory of the relay's responses
        @param onStoreUnreachable  called when the relay reports that the store does not answer */
    relayed_store(net::loop &loop, const clock &clock, const logger &log, Store &direct,
                  change_relay &ownRelay, http::receive_memory &memory,
                  std::function<void()> onStoreUnreachable)
        : m_loop(loop)
        , m_clock(clock)
        , m_log(log)
        , m_direct(direct)
        , m_ownRelay(ownRelay)
        , m_memory(memory)
        , m_onStoreUnreachable(std::move(onStoreUnreachable))
    { }

    /** Sets the relays to receive changes through, the preferred one first; while none can be used,
        watches go to the store itself. */
    void setRelays(const std::vector<endpoint> &relays);

    /** @see watchable_store */
    void list(std::string_view prefix, std::string_view after, batch_handler handler)
    {
        m_direct.list(prefix, after, std::move(handler));
    }

    /** @see watchable_store */
    void watch(std::string_view prefix, const store_position &since, duration wait,
               batch_handler handler);

private:
    void watchDirectly(const std::string &prefix, const store_position &since, duration wait,
                       batch_handler handler);
    void onRelayResult(const endpoint &relay, const http::exchange_result &result,
                       const std::string &prefix, const store_position &since, duration wait,
                       batch_handler handler);
    /** Returns the relay to use now, or null. */
    [[nodiscard]] const endpoint *usableRelay() const;

    net::loop &m_loop;
    const clock &m_clock;
    const logger &m_log;
    Store &m_direct;
    change_relay &m_ownRelay;
    http::receive_memory &m_memory;
    std::function<void()> m_onStoreUnreachable;
    relayed_store_settings m_settings;
    std::vector<endpoint> m_relays;
    /** Until when relays that have failed are not used. */
    std::map<endpoint, time_point> m_avoidedUntil;
    std::unique_ptr<http::client_pool> m_pool;
    /** Whether the relay has failed since the last changes arrived, or the last watch failed. */
    bool m_areChangesOverdue = false;
};

template <watchable_store Store>
void relayed_store<Store>::setRelays(const std::vector<endpoint> &relays)
{
    if (relays == m_relays)
        return;
    m_log.info("relay-chosen",
               {{"relay", relays.empty() ? std::string("none") : relays.front().toString()},
                {"prepared", relays.size()}});
    m_relays = relays;
    std::erase_if(m_avoidedUntil, [this](const auto &entry) {
        return std::find(m_relays.begin(), m_relays.end(), entry.first) == m_relays.end();
    });
}

template <watchable_store Store>
const endpoint *relayed_store<Store>::usableRelay() const
{
    const auto found =
        std::find_if(m_relays.begin(), m_relays.end(), [this](const endpoint &relay) {
            const auto avoided = m_avoidedUntil.find(relay);
            return avoided == m_avoidedUntil.end() || m_clock.now() >= avoided->second;
        });
    return found == m_relays.end() ? nullptr : &*found;
}

template <watchable_store Store>
void relayed_store<Store>::watch(std::string_view prefix, const store_position &since,
                                 duration wait, batch_handler handler)
{
    // A short wait asks whether the store serves, which only the store itself can tell.
    const bool isCheck = wait < m_settings.shortestRelayedWait;
    const endpoint *relay = isCheck ? nullptr : usableRelay();
    if (relay == nullptr)
        return watchDirectly(std::string(prefix), since, wait, std::move(handler));
    const bool isPoolForRelay = m_pool && m_pool->peer() == *relay;
    if (!isPoolForRelay) {
        m_pool = std::make_unique<http::client_pool>(
            m_loop, m_clock, *relay,
            http::client_pool_settings{
                .maximumConnections = 1,
                .responseLimits = {std::size_t{16} * 1024, std::size_t{8} * 1024 * 1024},
                .memory = &m_memory});
    }
    http::exchange_request request;
    request.bytes =
        fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", relayTarget(since), relay->toString());
    http::sendWithTimeout(m_loop, *m_pool, std::move(request), m_settings.relayTimeout,
                          [this, usedRelay = *relay, prefix = std::string(prefix), since, wait,
                           handler = std::move(handler)](http::exchange_result &&result) {
                              onRelayResult(usedRelay, result, prefix, since, wait, handler);
                          });
}

template <watchable_store Store>
void relayed_store<Store>::onRelayResult(const endpoint &relay, const http::exchange_result &result,
                                         const std::string &prefix, const store_position &since,
                                         duration wait, batch_handler handler)
{
    const int status = result.end == http::exchange_end::Answered ? result.answer.status : 0;
    store_batch batch;
    batch.failure = store_failure::Unanswered;
    if (status == relay_status::changes)
        batch = decodeBatch(result.answer.body);
    const bool isUsable = batch.failure == store_failure::None && batch.current.isSameEra(since);
    if (isUsable) {
        // A host that is prepared to be the relay needs the changes for the others.
        if (m_ownRelay.isServing())
            m_ownRelay.onWatchResult(since, batch);
        return handler(std::move(batch));
    }
    // A relay that has too much to send at once, or not the changes of this host, is usable for the
    // next changes.
    const bool canSendNext =
        status == relay_status::overLimit || status == relay_status::changesUnavailable;
    if (!canSendNext)
        m_avoidedUntil[relay] = m_clock.now() + m_settings.relayAvoidanceTime;
    m_areChangesOverdue = true;
    m_log.info("relay-failed", {{"status", status}, {"since", since.number().value()}});
    if (status == relay_status::storeUnreachable)
        m_onStoreUnreachable();
    watchDirectly(prefix, since, wait, std::move(handler));
}

template <watchable_store Store>
void relayed_store<Store>::watchDirectly(const std::string &prefix, const store_position &since,
                                         duration wait, batch_handler handler)
{
    // After a failure the changes are overdue, and the store may not answer this watch either.
    // While this host is the relay, its watch bounds how long other hosts wait for a response.
    const bool shouldShortenWait = m_ownRelay.isServing() || m_areChangesOverdue;
    const duration directWait =
        shouldShortenWait ? std::min(wait, m_settings.relayWatchDuration) : wait;
    m_direct.watch(prefix, since, directWait,
                   [this, since, handler = std::move(handler)](store_batch &&changes) {
                       m_ownRelay.onWatchResult(since, changes);
                       m_areChangesOverdue = changes.failure != store_failure::None;
                       handler(std::move(changes));
                   });
}

} // namespace mustardcourse::store
