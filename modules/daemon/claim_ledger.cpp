#include "claim_ledger.h"

#include <mustardcourse/core/hash.h>

#include <fmt/format.h>

namespace mustardcourse::daemon {

using namespace requests;

namespace {

constexpr std::size_t partitionCount = 64;

} // namespace

struct claim_ledger::partition_state
{
    partition_state(std::string storeKey, claim_limits limits)
        : key(std::move(storeKey))
        , partition(limits)
    { }

    std::string key;
    claim_partition partition;
    bool isProcessing = false;
    kj::Promise<void> processing = nullptr;
};

/** A claim without a decision yet. Destroying it withdraws the claim. */
class claim_ledger::waiting_claim
{
public:
    waiting_claim(kj::PromiseFulfiller<claim_decision> &fulfiller, claim_ledger &ledger,
                  partition_state &state, const request_id &request, std::uint64_t contentHash)
        : m_fulfiller(fulfiller)
        , m_ledger(ledger)
        , m_state(state)
        , m_claimOwner(fmt::format("{}-{}", ledger.m_ownerPrefix, ++ledger.m_nextOwner))
    {
        ledger.m_waitingClaims.emplace(m_claimOwner, this);
        state.partition.submit(request, m_claimOwner, contentHash);
        ledger.startProcessing(state);
    }

    ~waiting_claim()
    {
        if (m_isSettled)
            return;
        m_ledger.m_waitingClaims.erase(m_claimOwner);
        m_state.partition.withdraw(m_claimOwner);
    }

    KJ_DISALLOW_COPY(waiting_claim);

    void settle(claim_decision decision)
    {
        m_isSettled = true;
        m_ledger.m_waitingClaims.erase(m_claimOwner);
        m_fulfiller.fulfill(std::move(decision));
    }

private:
    kj::PromiseFulfiller<claim_decision> &m_fulfiller;
    claim_ledger &m_ledger;
    partition_state &m_state;
    std::string m_claimOwner;
    bool m_isSettled = false;
};

claim_ledger::claim_ledger(wire::event_loop &loop, const clock &clock, const logger &log,
                           platform::store_client &store, std::string ownerPrefix,
                           claim_limits limits, duration retryInterval)
    : m_loop(loop)
    , m_clock(clock)
    , m_log(log)
    , m_store(store)
    , m_ownerPrefix(std::move(ownerPrefix))
    , m_retryInterval(retryInterval)
{
    for (std::size_t index = 0; index < partitionCount; ++index) {
        m_partitions.push_back(
            std::make_unique<partition_state>(fmt::format("claims/{:02}", index), limits));
    }
}

claim_ledger::~claim_ledger() = default;

claim_ledger::partition_state &claim_ledger::partitionOf(const request_id &request)
{
    return *m_partitions[stableHash(request.value()) % m_partitions.size()];
}

kj::Promise<claim_decision> claim_ledger::claim(const request_id &request,
                                                std::uint64_t contentHash, time_point deadline)
{
    auto decisionPromise = kj::newAdaptedPromise<claim_decision, waiting_claim>(
        *this, partitionOf(request), request, contentHash);
    auto timeout = m_loop.sleep(std::max(deadline - m_clock.now(), duration::zero())).then([] {
        return claim_decision{"", claim_outcome::Unavailable, {}};
    });
    return decisionPromise.exclusiveJoin(kj::mv(timeout));
}

void claim_ledger::finish(const request_id &request, const std::string &owner, claim_state state,
                          const std::string &result)
{
    partition_state &owningPartition = partitionOf(request);
    owningPartition.partition.finish(request, owner, state, result);
    startProcessing(owningPartition);
}

void claim_ledger::release(const request_id &request, const std::string &owner)
{
    partition_state &state = partitionOf(request);
    state.partition.release(request, owner);
    startProcessing(state);
}

void claim_ledger::startProcessing(partition_state &state)
{
    if (state.isProcessing)
        return;
    state.isProcessing = true;
    // Changes submitted in the same turn of the event loop share one compare-and-swap.
    state.processing = kj::evalLater([this, &state] {
                           return processNext(state);
                       }).eagerlyEvaluate([this](kj::Exception &&failure) {
        m_log.error("claims-failed", {{"reason", failure.getDescription().cStr()}});
    });
}

kj::Promise<void> claim_ledger::processNext(partition_state &state)
{
    deliverDecisions(state);
    if (!state.partition.hasWork()) {
        state.isProcessing = false;
        return kj::READY_NOW;
    }
    if (state.partition.needsRead())
        return readValue(state);
    const auto now = std::chrono::floor<std::chrono::seconds>(m_clock.wallNow());
    auto write = state.partition.nextWrite(now.time_since_epoch());
    deliverDecisions(state);
    if (!write) {
        state.isProcessing = false;
        return kj::READY_NOW;
    }
    return writeValue(state, std::move(*write));
}

kj::Promise<void> claim_ledger::readValue(partition_state &state)
{
    return m_store.read(state.key).then([this, &state](
                                            platform::read_result &&result) -> kj::Promise<void> {
        if (result.outcome == platform::read_outcome::Answered) {
            state.partition.onValueRead(result.value.storeRevision, result.value.value);
            if (!state.partition.needsRead())
                return processNext(state);
            m_log.error("claims-unreadable", {{"key", state.key}});
        }
        return m_loop.sleep(m_retryInterval).then([this, &state] { return processNext(state); });
    });
}

kj::Promise<void> claim_ledger::writeValue(partition_state &state, claim_write write)
{
    return m_store.compareAndSwap(state.key, write.expectedRevision, std::move(write.value))
        .then([this, &state](platform::swap_result &&result) -> kj::Promise<void> {
            switch (result.outcome) {
            case platform::swap_outcome::Swapped:
                state.partition.onWritten(result.storeRevision);
                return processNext(state);
            case platform::swap_outcome::Conflict:
                state.partition.onWriteConflict(result.current.storeRevision, result.current.value);
                return processNext(state);
            case platform::swap_outcome::Lost:
                state.partition.onWriteOutcomeUnknown();
                return processNext(state);
            case platform::swap_outcome::NotSent:
                state.partition.onWriteNotSent();
                break;
            }
            return m_loop.sleep(m_retryInterval).then([this, &state] {
                return processNext(state);
            });
        });
}

void claim_ledger::deliverDecisions(partition_state &state)
{
    for (claim_decision &decision : state.partition.takeDecisions()) {
        const auto found = m_waitingClaims.find(decision.owner);
        if (found != m_waitingClaims.end())
            found->second->settle(std::move(decision));
    }
}

kj::Promise<void> claim_ledger::flush()
{
    constexpr std::chrono::milliseconds checkInterval{5};

    for (const auto &state : m_partitions) {
        if (state->isProcessing)
            return m_loop.sleep(checkInterval).then([this] { return flush(); });
    }
    return kj::READY_NOW;
}

} // namespace mustardcourse::daemon
