#pragma once

#include <mustardcourse/core/hash.h>
#include <mustardcourse/core/log.h>
#include <mustardcourse/core/retry_backoff.h>
#include <mustardcourse/net/loop.h>
#include <mustardcourse/store/store_port.h>

#include <algorithm>
#include <concepts>
#include <optional>
#include <string>

namespace mustardcourse::store {

/** A store that grants leases and removes keys when their lease ends. */
template <typename Store>
concept leasing_store = requires(Store &store, duration leaseLifetime, const std::string &text,
                                 const lease_id &lease, lease_handler onLease,
                                 completion_handler onDone)
{
    store.grantLease(leaseLifetime, onLease);
    store.renewLease(lease, onDone);
    store.revokeLease(lease);
    store.put(text, text, lease, onDone);
};

struct membership_settings
{
    std::string key;
    std::string value;
    /** Time after the last renewal at which the lease expires and the key is removed. Until then a
        host that has ended counts among those that share limits, which only makes shares smaller.
     */
    duration leaseLifetime = std::chrono::seconds(12);
    /** Two consecutive renewals may fail before the lease expires. */
    duration renewalInterval = std::chrono::seconds(4);
    /** Delay after the first failed call; doubles with each further failure, up to a maximum, as
        the store meters every call and nothing waits for this one. */
    duration initialRetryDelay = std::chrono::milliseconds(400);
    duration maximumRetryDelay = std::chrono::milliseconds(1600);
};

/**
    Maintains a leased key in the store while this process runs, by which hosts count one another.

    No decision of this host depends on the presence of its key: a host whose lease has expired
    continues to serve, and others count it again once it has written the key again.
*/
template <leasing_store Store>
class lease_membership
{
public:
    lease_membership(net::loop &loop, const logger &log, Store &store, membership_settings settings,
                     std::function<void()> onFailure)
        : m_log(log)
        , m_store(store)
        , m_settings(std::move(settings))
        , m_onFailure(std::move(onFailure))
        , m_backoff(m_settings.initialRetryDelay, m_settings.maximumRetryDelay)
        , m_timer(loop, [this] { renew(); })
    { }

    /** Requests a lease and writes the key; retries until leave() is called. */
    void join() { renew(); }

    /** Joins again if the lease was granted in an earlier era of the store than this one. Hosts do
        so at different times, as the store meters their calls. */
    void onNewEra(store_era era)
    {
        if (!m_lease || m_lease->era == era)
            return;
        constexpr std::int64_t steps = 1024;
        const auto step = static_cast<std::int64_t>(stableHash(m_settings.key) % steps);
        joinAgain(m_settings.initialRetryDelay * step / steps);
    }

    /** Joins again, as the key was removed although its lease may live. */
    void onKeyRemoved()
    {
        if (m_lease)
            joinAgain(duration::zero());
    }

    /** Revokes the lease, so that others take over this host's shares of the limits at once. */
    void leave()
    {
        m_timer.stop();
        m_isLeaving = true;
        if (m_lease)
            m_store.revokeLease(*m_lease);
    }

private:
    /** Gives up the lease and requests another one after a delay. */
    void joinAgain(duration delay)
    {
        if (m_isLeaving)
            return;
        m_log.warning("membership-lapsed", {{"key", m_settings.key}});
        m_lease.reset();
        schedule(delay);
    }

    void renew()
    {
        if (m_isLeaving)
            return;
        if (!m_lease)
            return grant();
        m_store.renewLease(*m_lease, [this](store_failure failure) { onRenewed(failure); });
    }

    void grant()
    {
        m_store.grantLease(m_settings.leaseLifetime, [this](lease_grant &&granted) {
            if (granted.failure != store_failure::None)
                return scheduleRetry(granted.failure);
            m_lease = granted.lease;
            m_store.put(m_settings.key, m_settings.value, *m_lease,
                        [this](store_failure failure) { onPut(failure); });
        });
    }

    void onPut(store_failure failure)
    {
        // The lease was given up meanwhile, and the host is about to join again.
        if (!m_lease)
            return;
        if (failure != store_failure::None) {
            m_lease.reset();
            return scheduleRetry(failure);
        }
        m_log.info("membership-joined", {{"key", m_settings.key}});
        m_backoff.reset();
        schedule(m_settings.renewalInterval);
    }

    void onRenewed(store_failure failure)
    {
        if (!m_lease)
            return;
        if (failure == store_failure::NotFound)
            return joinAgain(duration::zero());
        if (failure != store_failure::None)
            return scheduleRetry(failure);
        m_backoff.reset();
        schedule(m_settings.renewalInterval);
    }

    void scheduleRetry(store_failure failure)
    {
        m_log.writeRateLimited("membership-failed", {{"failure", nameOf(failure)}});
        m_onFailure();
        schedule(m_backoff.next());
    }

    void schedule(duration delay)
    {
        if (!m_isLeaving)
            m_timer.start(delay);
    }

    const logger &m_log;
    Store &m_store;
    membership_settings m_settings;
    std::function<void()> m_onFailure;
    std::optional<lease_id> m_lease;
    bool m_isLeaving = false;
    retry_backoff m_backoff;
    net::timer m_timer;
};

} // namespace mustardcourse::store
