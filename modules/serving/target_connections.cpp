#include <mustardcourse/serving/target_connections.h>

#include <algorithm>

namespace mustardcourse::serving {

namespace {

/** Fraction of a target's connections that the hosts divide among themselves. The rest is for hosts
   that are not yet visible to all others. */
constexpr double sharedFraction = 0.9;

std::size_t shareOf(const connection_limit &limit)
{
    const double sharedConnections = sharedFraction * static_cast<double>(limit.maximumConnections);
    const auto share =
        static_cast<std::size_t>(sharedConnections / static_cast<double>(limit.hostCount));
    return std::max<std::size_t>(share, 1);
}

} // namespace

target_connections::target_connections(net::loop &loop, const clock &clock,
                                       serving_metrics &metrics, http::receive_memory &memory)
    : m_loop(loop)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_memory(memory)
{ }

http::client_pool &target_connections::poolOf(const target_registration &target,
                                              const connection_limit &limit)
{
    const auto found = m_pools.find(target.instance);
    if (found != m_pools.end() && found->second.registration.address == target.address) {
        found->second.pool->setMaximumConnections(shareOf(limit));
        return *found->second.pool;
    }
    if (found != m_pools.end())
        m_pools.erase(found);
    const http::client_pool_settings settings{.maximumConnections = shareOf(limit),
                                              .memory = &m_memory};
    auto pool = std::make_unique<http::client_pool>(m_loop, m_clock, target.address, settings);
    return *m_pools.emplace(target.instance, target_pool{target, std::move(pool)})
                .first->second.pool;
}

connection_availability target_connections::availabilityOf(const target_registration &target,
                                                           const connection_limit &limit)
{
    const http::client_pool &pool = poolOf(target, limit);
    if (pool.hasIdleConnection())
        return connection_availability::IdleConnection;
    return pool.hasCapacity() ? connection_availability::CanOpen : connection_availability::AtLimit;
}

http::exchange_id target_connections::send(const target_registration &target,
                                           const connection_limit &limit,
                                           http::exchange_request request)
{
    http::client_pool &pool = poolOf(target, limit);
    const std::uint64_t connectionsOpenedBefore = pool.dialCount();
    const http::exchange_id exchange = pool.send(std::move(request));
    m_metrics.connectionsOpened.Increment(
        static_cast<double>(pool.dialCount() - connectionsOpenedBefore));
    return exchange;
}

void target_connections::cancel(const instance_id &instance, http::exchange_id exchange)
{
    const auto found = m_pools.find(instance);
    if (found != m_pools.end())
        found->second.pool->cancel(exchange);
}

void target_connections::closeUnused(target_directory &directory)
{
    for (auto poolEntry = m_pools.begin(); poolEntry != m_pools.end();) {
        target_pool &pooledTarget = poolEntry->second;
        const target *registeredTarget = directory.find(poolEntry->first);
        if (registeredTarget == nullptr && pooledTarget.pool->busyConnectionCount() == 0) {
            poolEntry = m_pools.erase(poolEntry);
            continue;
        }
        if (registeredTarget != nullptr) {
            const report_order &order = registeredTarget->registration().order;
            if (order.startedAt != pooledTarget.registration.order.startedAt)
                pooledTarget.pool->closeIdleConnections();
            pooledTarget.registration.order = order;
        }
        ++poolEntry;
    }
}

} // namespace mustardcourse::serving
