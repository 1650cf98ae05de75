#pragma once

#include "entry.h"

#include <mustardcourse/routing/replica_choice.h>
#include <mustardcourse/serving/scatter.h>

namespace mustardcourse::daemon {

/**
    Runs one lookup: fans it out over the homes, retries shards, and merges the hits.

    serving::scatter decides which shards may be retried, which count as answered, and when the
    lookup ends, as in the platform deployment.

    The snapshot is pinned once. If a target no longer holds it and the answer is incomplete, the
    whole lookup may be restarted once on a newer snapshot; hits of two snapshots are never
    merged.
*/
class lookup_task final : private kj::TaskSet::ErrorHandler
{
public:
    lookup_task(entry &owner, lookup_request request, registers::shard_map_pointer map,
                std::size_t hitLimit, time_point deadline);

    /** Starts the lookup. Resolves to its answer, at the latest at the deadline. */
    kj::Promise<lookup_answer> run();

private:
    struct shard_progress
    {
        std::set<registers::target_id> triedTargets;
        requests::shard_failure lastFailure = requests::shard_failure::NotServed;
    };

    /** The state used to choose a replica and a home for all shards of one round of calls. */
    struct routing_view
    {
        std::set<data_centre_id> dataCentresOut;
        std::set<registers::target_id> leaving;
        std::vector<membership::member_record> serving;
    };

    void taskFailed(kj::Exception &&exception) override;
    void start();
    void send(const std::vector<shard_index> &shards, const routing_view &view);
    routing_view currentView() const;
    std::optional<registers::replica> chooseReplica(shard_index shard,
                                                    const routing_view &view) const;
    requests::lookup_call makeCall(std::vector<requests::shard_call> shards) const;
    void onReply(const std::vector<requests::shard_call> &requestedShards,
                 std::optional<requests::lookup_reply> reply);
    void onShard(requests::shard_reply reply);
    void recordFailure(shard_index shard, requests::shard_failure failure);
    [[nodiscard]] serving::scatter newScatter() const;
    void retry(const std::vector<shard_index> &shards);
    bool restartOnNewerSnapshot();
    void finishIfDone();
    void finish();

    entry &m_entry;
    lookup_request m_request;
    registers::shard_map_pointer m_map;
    time_point m_deadline;
    std::uint64_t m_seed;
    index_version m_version;
    serving::scatter m_scatter;
    requests::hit_merger m_merger;
    std::size_t m_hitLimit;
    std::vector<shard_progress> m_shards;
    std::uint32_t m_targetCalls = 0;
    bool m_hasRestarted = false;
    bool m_isFinished = false;
    kj::Own<kj::PromiseFulfiller<lookup_answer>> m_fulfiller;
    kj::TaskSet m_tasks;
};

} // namespace mustardcourse::daemon
