#pragma once

#include <mustardcourse/core/log.h>
#include <mustardcourse/net/loop.h>
#include <mustardcourse/store/store_port.h>

#include <algorithm>
#include <concepts>
#include <string>

namespace mustardcourse::store {

/** A store that grants leases and holds keys for as long as they last. */
template <typename Store>
concept leasing_store = requires(Store &store, duration lifetime, const std::string &text,
                                 lease_handler onLease, completion_handler onDone)
{
    store.grantLease(lifetime, onLease);
    store.renewLease(text, onDone);
    store.revokeLease(text);
    store.put(text, text, text, onDone);
};

/** Settings of a membership. */
struct membership_settings
{
    std::string key;
    std::string value;
    /** How long the key outlives this process. */
    duration lifetime = std::chrono::seconds(5);
    /** Interval of the renewals; two may fail before the lease ends. */
    duration renewal = std::chrono::milliseconds(1600);
    /** Wait after the first call that failed; it doubles up to the interval of the renewals, as the
        store counts every call and nothing waits for this one. */
    duration retry = std::chrono::milliseconds(400);
};

/**
    Keeps a key in the store for as long as this process lives, by which hosts count one another.

    It takes no decision that needs the key to be there: a host whose lease has lapsed goes on
    serving, and others count it again when it is back.
*/
template <leasing_store Store>
class lease_membership
{
public:
    lease_membership(net::loop &loop, const logger &log, Store &store, membership_settings settings,
                     std::function<void()> onTrouble)
        : m_log(log)
        , m_store(store)
        , m_settings(std::move(settings))
        , m_onTrouble(std::move(onTrouble))
        , m_nextRetry(m_settings.retry)
        , m_timer(loop, [this] { renew(); })
    { }

    /** Joins, and goes on trying until leave(). */
    void join() { renew(); }

    /** Ends the lease, so that others take over this host's shares at once. */
    void leave()
    {
        m_timer.stop();
        m_isLeaving = true;
        if (!m_lease.empty())
            m_store.revokeLease(m_lease);
    }

private:
    void renew()
    {
        if (m_isLeaving)
            return;
        if (m_lease.empty())
            return grant();
        m_store.renewLease(m_lease, [this](store_failure failure) { onKept(failure); });
    }

    void grant()
    {
        m_store.grantLease(m_settings.lifetime, [this](lease_grant &&granted) {
            if (granted.failure != store_failure::None)
                return again(granted.failure);
            m_lease = granted.lease;
            m_store.put(m_settings.key, m_settings.value, m_lease,
                        [this](store_failure failure) { onPut(failure); });
        });
    }

    void onPut(store_failure failure)
    {
        if (failure != store_failure::None) {
            m_lease.clear();
            return again(failure);
        }
        m_log.info("membership-joined", {{"key", m_settings.key}});
        m_nextRetry = m_settings.retry;
        schedule(m_settings.renewal);
    }

    void onKept(store_failure failure)
    {
        if (failure == store_failure::NotFound) {
            m_log.warning("membership-lapsed", {{"key", m_settings.key}});
            m_lease.clear();
            return schedule(duration::zero());
        }
        if (failure != store_failure::None)
            return again(failure);
        m_nextRetry = m_settings.retry;
        schedule(m_settings.renewal);
    }

    void again(store_failure failure)
    {
        m_log.limited("membership-failed", {{"failure", nameOf(failure)}});
        m_onTrouble();
        schedule(m_nextRetry);
        m_nextRetry = std::min(2 * m_nextRetry, m_settings.renewal);
    }

    void schedule(duration delay)
    {
        if (!m_isLeaving)
            m_timer.start(delay);
    }

    const logger &m_log;
    Store &m_store;
    membership_settings m_settings;
    std::function<void()> m_onTrouble;
    std::string m_lease;
    bool m_isLeaving = false;
    duration m_nextRetry;
    net::timer m_timer;
};

} // namespace mustardcourse::store
