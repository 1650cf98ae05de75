#pragma once

#include <mustardcourse/http/client_pool.h>
#include <mustardcourse/serving/serving_metrics.h>
#include <mustardcourse/serving/target_directory.h>

#include <map>
#include <memory>

namespace mustardcourse::serving {

/** How a request would reach a target. */
enum class connection_state {
    /** On a kept connection. */
    Idle,
    /** On a new connection. */
    ToBeOpened,
    /** Not at all: this host's share of the target's connections is in use. */
    Full,
};

/**
    The connections of this host to all targets.

    Each target bears a number of connections from all hosts together, and each host takes its even
    share of them.
*/
class target_connections
{
public:
    target_connections(net::loop &loop, const clock &clock, serving_metrics &metrics);

    /** Sets how many hosts share the targets. Precondition: at least one. */
    void setMemberCount(std::size_t count) noexcept { m_memberCount = count; }

    /** Returns how a request would reach a target now. */
    [[nodiscard]] connection_state stateOf(const target_registration &target,
                                           std::size_t maximumConnections);

    /** Sends a request to a target. @see http::client_pool::send */
    http::exchange_id send(const target_registration &target, std::size_t maximumConnections,
                           http::exchange_request request);

    /** Cancels an exchange; nothing happens if it has ended. */
    void cancel(const instance_id &instance, http::exchange_id exchange);

    /** Closes what is idle to targets that are not in the directory, and to restarted ones. */
    void closeUnused(target_directory &directory);

private:
    struct entry
    {
        target_registration registration;
        std::unique_ptr<http::client_pool> pool;
    };

    http::client_pool &poolOf(const target_registration &target, std::size_t maximumConnections);
    [[nodiscard]] std::size_t shareOf(std::size_t maximumConnections) const;

    net::loop &m_loop;
    const clock &m_clock;
    serving_metrics &m_metrics;
    std::size_t m_memberCount = 1;
    std::map<instance_id, entry> m_pools;
};

} // namespace mustardcourse::serving
