#pragma once

#include "claim_ledger.h"
#include "metrics.h"
#include "settings_view.h"
#include "target_client.h"

#include <mustardcourse/requests/messages.h>

#include <map>
#include <memory>

namespace mustardcourse::daemon {

/** The index versions that a target holds, as last reported to its home. */
struct held_versions
{
    registers::target_id target;
    std::vector<index_version> versions;
    bool hasReport = false;
    bool isLeaving = false;
};

/**
    Serves the targets that this host is the home of.

    The entries of all hosts, including this one, send their calls to the home of a target. The home
    alone sends requests to that target, and so controls its load. @see target_client
*/
class home
{
public:
    home(wire::event_loop &loop, const clock &clock, metrics &metrics,
         const settings_view &settings, claim_ledger &claims, std::size_t queueCapacity);

    /** Sends a lookup to the targets of its shards. It never rejects. */
    kj::Promise<requests::lookup_reply> lookup(requests::lookup_call call);

    /** Runs a non-idempotent request at most once. It never rejects. */
    kj::Promise<requests::execute_reply> execute(requests::execute_call call);

    /** Returns the versions that targets hold; first reads the status of those without a report. */
    kj::Promise<std::vector<held_versions>> describe(std::vector<registers::target_id> targets,
                                                     registers::target_capacity capacity);

    /** Reads the status of every target in use, and removes those that are no longer used. */
    kj::Promise<void> refreshTargets(duration timeout);

    /** Returns the clients of the targets in use. */
    [[nodiscard]] std::vector<const target_client *> targets() const;

private:
    target_client &clientOf(const registers::target_id &target,
                            const registers::target_capacity &capacity);
    requests::shard_failure refusalFor(const team_id &team, const requests::shard_call &call,
                                       const target_client &client) const;
    kj::Promise<requests::shard_reply> queryShard(const requests::lookup_call &call,
                                                  const requests::shard_call &shardCall,
                                                  time_point deadline);
    kj::Promise<requests::execute_reply> executeClaimed(const requests::execute_call &call,
                                                        const std::string &owner,
                                                        time_point deadline);

    wire::event_loop &m_loop;
    const clock &m_clock;
    metrics &m_metrics;
    const settings_view &m_settings;
    claim_ledger &m_claims;
    std::size_t m_queueCapacity;
    std::map<registers::target_id, std::unique_ptr<target_client>> m_targets;
};

} // namespace mustardcourse::daemon
