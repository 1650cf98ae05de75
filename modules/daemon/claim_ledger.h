#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/log.h>
#include <mustardcourse/platform/store_client.h>
#include <mustardcourse/requests/claim_partition.h>

#include <map>
#include <memory>
#include <vector>

namespace mustardcourse::daemon {

/**
    Claims request ids in the store before they are sent to a target.

    The ids are divided into partitions. Each has a claim_partition, whose reads and writes of the
    store this class performs.
    @see requests::claim_partition
*/
class claim_ledger
{
public:
    claim_ledger(wire::event_loop &loop, const clock &clock, const logger &log,
                 platform::store_client &store, std::string ownerPrefix,
                 requests::claim_limits limits, duration retryInterval);

    ~claim_ledger();

    /** Resolves to the decision on a claim; at the deadline the claim fails as unavailable. */
    kj::Promise<requests::claim_decision> claim(const request_id &request,
                                                std::uint64_t contentHash, time_point deadline);

    /** Records the result of a granted claim. The next compare-and-swap writes it. */
    void finish(const request_id &request, const std::string &owner, requests::claim_state state,
                const std::string &result);

    /** Removes a granted claim whose request was definitely not sent. */
    void release(const request_id &request, const std::string &owner);

    /** Resolves when all changes have been written. */
    kj::Promise<void> flush();

private:
    struct partition_state;
    class waiting_claim;

    partition_state &partitionOf(const request_id &request);
    void startProcessing(partition_state &state);
    kj::Promise<void> processNext(partition_state &state);
    kj::Promise<void> readValue(partition_state &state);
    kj::Promise<void> writeValue(partition_state &state, requests::claim_write write);
    void deliverDecisions(partition_state &state);

    wire::event_loop &m_loop;
    const clock &m_clock;
    const logger &m_log;
    platform::store_client &m_store;
    std::string m_ownerPrefix;
    duration m_retryInterval;
    std::uint64_t m_nextOwner = 0;
    std::map<std::string, waiting_claim *> m_waitingClaims;
    std::vector<std::unique_ptr<partition_state>> m_partitions;
};

} // namespace mustardcourse::daemon
