#pragma once

#include <mustardcourse/core/log.h>
#include <mustardcourse/http/timed_exchange.h>
#include <mustardcourse/store/change_relay.h>
#include <mustardcourse/store/store_mirror.h>

namespace mustardcourse::store {

/** Times of a host that follows the store through another one. */
struct relayed_store_settings
{
    /** How long a relay's own watch waits. With the pause of the mirror it is the longest time in
        which a relay that is well answers. */
    duration relayWait = std::chrono::milliseconds(1200);
    /** Time after which a relay's answer is not waited for any longer. A change that a silent relay
        misses is in force within this and one call to the store; the platform allows 3 s. */
    duration answerLimit = std::chrono::milliseconds(2000);
    /** How long a relay that failed is not asked. */
    duration avoidance = std::chrono::seconds(10);
};

/**
    A store whose changes come through the relay of this host's data centre if there is one, and
    from the store itself otherwise or when the relay fails. @see change_relay, chooseRelay
*/
template <watchable_store Store>
class relayed_store
{
public:
    /** @param onStoreAway  is called when a relay tells that the store does not answer it */
    relayed_store(net::loop &loop, const clock &clock, const logger &log, Store &direct,
                  change_relay &own, std::function<void()> onStoreAway)
        : m_loop(loop)
        , m_clock(clock)
        , m_log(log)
        , m_direct(direct)
        , m_own(own)
        , m_onStoreAway(std::move(onStoreAway))
        , m_avoidedUntil(clock.now())
    { }

    /** Sets the relay to ask; nothing to ask the store. */
    void setRelay(std::optional<endpoint> relay);

    /** @see watchable_store */
    void list(std::string_view prefix, std::string_view after, batch_handler handler)
    {
        m_direct.list(prefix, after, std::move(handler));
    }

    /** @see watchable_store */
    void watch(std::string_view prefix, revision since, duration wait, batch_handler handler);

private:
    void askStore(const std::string &prefix, revision since, duration wait, batch_handler handler);
    void onRelayAnswer(std::optional<http::response> &&answer, const std::string &prefix,
                       revision since, duration wait, batch_handler handler);

    net::loop &m_loop;
    const clock &m_clock;
    const logger &m_log;
    Store &m_direct;
    change_relay &m_own;
    std::function<void()> m_onStoreAway;
    relayed_store_settings m_settings;
    std::optional<endpoint> m_relay;
    std::unique_ptr<http::client_pool> m_pool;
    time_point m_avoidedUntil;
    /** Whether the last news came from a relay that failed since, or a call to the store failed. */
    bool m_isNewsOverdue = false;
};

template <watchable_store Store>
void relayed_store<Store>::setRelay(std::optional<endpoint> relay)
{
    if (relay == m_relay)
        return;
    m_log.info("relay-chosen", {{"relay", relay ? relay->toString() : std::string("none")}});
    m_relay = std::move(relay);
    m_avoidedUntil = m_clock.now();
}

template <watchable_store Store>
void relayed_store<Store>::watch(std::string_view prefix, revision since, duration wait,
                                 batch_handler handler)
{
    if (!m_relay || m_clock.now() < m_avoidedUntil)
        return askStore(std::string(prefix), since, wait, std::move(handler));
    const bool isPoolOfRelay = m_pool && m_pool->peer() == *m_relay;
    if (!isPoolOfRelay) {
        m_pool = std::make_unique<http::client_pool>(
            m_loop, m_clock, *m_relay,
            http::client_pool_settings{
                .maximumConnections = 1,
                .responseLimits = {std::size_t{16} * 1024, std::size_t{8} * 1024 * 1024}});
    }
    http::exchange_request request;
    request.bytes = fmt::format("GET {}{} HTTP/1.1\r\nHost: {}\r\n\r\n", relayPath, since.value(),
                                m_relay->toString());
    http::sendWithTimeout(m_loop, *m_pool, std::move(request), m_settings.answerLimit,
                          [this, prefix = std::string(prefix), since, wait,
                           handler = std::move(handler)](std::optional<http::response> &&answer) {
                              onRelayAnswer(std::move(answer), prefix, since, wait, handler);
                          });
}

template <watchable_store Store>
void relayed_store<Store>::onRelayAnswer(std::optional<http::response> &&answer,
                                         const std::string &prefix, revision since, duration wait,
                                         batch_handler handler)
{
    store_batch batch;
    batch.failure = store_failure::Unanswered;
    if (answer && answer->status == relay_status::changes)
        batch = decodeBatch(answer->body);
    if (batch.failure == store_failure::None)
        return handler(std::move(batch));
    m_avoidedUntil = m_clock.now() + m_settings.avoidance;
    m_isNewsOverdue = true;
    m_log.info("relay-failed", {{"status", answer ? answer->status : 0}, {"since", since.value()}});
    if (answer && answer->status == relay_status::storeAway)
        m_onStoreAway();
    askStore(prefix, since, wait, std::move(handler));
}

template <watchable_store Store>
void relayed_store<Store>::askStore(const std::string &prefix, revision since, duration wait,
                                    batch_handler handler)
{
    // The store may swallow this watch too, and time has passed since the last news.
    const bool isShort = m_own.isServing() || m_isNewsOverdue;
    const duration ownWait = isShort ? std::min(wait, m_settings.relayWait) : wait;
    m_direct.watch(prefix, since, ownWait,
                   [this, since, handler = std::move(handler)](store_batch &&changes) {
                       m_own.noteChanges(since, changes);
                       m_isNewsOverdue = changes.failure != store_failure::None;
                       handler(std::move(changes));
                   });
}

} // namespace mustardcourse::store
