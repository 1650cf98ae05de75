#include <mustardcourse/serving/target_connections.h>

#include <algorithm>

namespace mustardcourse::serving {

namespace {

/** Part of a target's connections that hosts share; the rest is for hosts that others do not see
    yet. */
constexpr double sharedPart = 0.9;

} // namespace

target_connections::target_connections(net::loop &loop, const clock &clock,
                                       serving_metrics &metrics)
    : m_loop(loop)
    , m_clock(clock)
    , m_metrics(metrics)
{ }

std::size_t target_connections::shareOf(std::size_t maximumConnections) const
{
    const double shared = sharedPart * static_cast<double>(maximumConnections);
    const auto share = static_cast<std::size_t>(shared / static_cast<double>(m_memberCount));
    return std::max<std::size_t>(share, 1);
}

http::client_pool &target_connections::poolOf(const target_registration &target,
                                              std::size_t maximumConnections)
{
    const auto found = m_pools.find(target.instance);
    if (found != m_pools.end() && found->second.registration.address == target.address) {
        found->second.pool->setMaximumConnections(shareOf(maximumConnections));
        return *found->second.pool;
    }
    if (found != m_pools.end())
        m_pools.erase(found);
    const http::client_pool_settings settings{.maximumConnections = shareOf(maximumConnections)};
    auto pool = std::make_unique<http::client_pool>(m_loop, m_clock, target.address, settings);
    return *m_pools.emplace(target.instance, entry{target, std::move(pool)}).first->second.pool;
}

connection_state target_connections::stateOf(const target_registration &target,
                                             std::size_t maximumConnections)
{
    const http::client_pool &pool = poolOf(target, maximumConnections);
    if (pool.hasIdleConnection())
        return connection_state::Idle;
    return pool.hasCapacity() ? connection_state::ToBeOpened : connection_state::Full;
}

http::exchange_id target_connections::send(const target_registration &target,
                                           std::size_t maximumConnections,
                                           http::exchange_request request)
{
    http::client_pool &pool = poolOf(target, maximumConnections);
    const std::uint64_t dialsBefore = pool.dialCount();
    const http::exchange_id exchange = pool.send(std::move(request));
    m_metrics.dials.Increment(static_cast<double>(pool.dialCount() - dialsBefore));
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
    for (auto each = m_pools.begin(); each != m_pools.end();) {
        entry &held = each->second;
        const target *known = directory.find(each->first);
        if (known == nullptr && held.pool->busyConnectionCount() == 0) {
            each = m_pools.erase(each);
            continue;
        }
        if (known != nullptr) {
            const report_order &order = known->registration().order;
            if (order.startedAt != held.registration.order.startedAt)
                held.pool->closeIdleConnections();
            held.registration.order = order;
        }
        ++each;
    }
}

} // namespace mustardcourse::serving
