#pragma once

#include <mustardcourse/http/client_pool.h>
#include <mustardcourse/serving/serving_metrics.h>
#include <mustardcourse/serving/target_directory.h>

#include <map>
#include <memory>

namespace mustardcourse::serving {

/** Whether this host has a connection for one more request to a target. */
enum class connection_availability {
    /** An idle connection can be reused. */
    IdleConnection,
    /** A new connection can be opened. */
    CanOpen,
    /** All connections of this host's share are in use. */
    AtLimit,
};

/** A maximum number of connections to a target that some hosts share evenly. */
struct connection_limit
{
    std::size_t maximumConnections = 1;
    /** Number of hosts that share them; at least one. */
    std::size_t hostCount = 1;
};

/**
    The connections of this host to all targets.

    Each target has a maximum number of connections from all hosts together, and each host uses its
    share of them.
*/
class target_connections
{
public:
    /** @param memory  limits the memory of the answers that are being read */
    target_connections(net::loop &loop, const clock &clock, serving_metrics &metrics,
                       http::receive_memory &memory);

    /** Returns whether a connection for a request to a target is available now. */
    [[nodiscard]] connection_availability availabilityOf(const target_registration &target,
                                                         const connection_limit &limit);

    /** Sends a request to a target. @see http::client_pool::send */
    http::exchange_id send(const target_registration &target, const connection_limit &limit,
                           http::exchange_request request);

    /** Cancels an exchange. Does nothing if it has ended. */
    void cancel(const instance_id &instance, http::exchange_id exchange);

    /** Closes idle connections to targets that have restarted or are not in the directory. */
    void closeUnused(target_directory &directory);

private:
    struct target_pool
    {
        target_registration registration;
        std::unique_ptr<http::client_pool> pool;
    };

    http::client_pool &poolOf(const target_registration &target, const connection_limit &limit);

    net::loop &m_loop;
    const clock &m_clock;
    serving_metrics &m_metrics;
    http::receive_memory &m_memory;
    std::map<instance_id, target_pool> m_pools;
};

} // namespace mustardcourse::serving
