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
    bool isDriving = false;
    kj::Promise<void> driving = nullptr;
};

/** An attempt that has not been decided. Dropping it withdraws the attempt. */
class claim_ledger::waiting_claim
{
public:
    waiting_claim(kj::PromiseFulfiller<claim_decision> &fulfiller, claim_ledger &owner,
                  partition_state &state, const request_id &request, std::uint64_t contentHash)
        : m_fulfiller(fulfiller)
        , m_ledger(owner)
        , m_state(state)
        , m_name(fmt::format("{}-{}", owner.m_ownerPrefix, ++owner.m_nextOwner))
    {
        owner.m_waiting.emplace(m_name, this);
        state.partition.submit(request, m_name, contentHash);
        owner.drive(state);
    }

    ~waiting_claim()
    {
        if (m_isSettled)
            return;
        m_ledger.m_waiting.erase(m_name);
        m_state.partition.withdraw(m_name);
    }

    KJ_DISALLOW_COPY(waiting_claim);

    void settle(claim_decision decision)
    {
        m_isSettled = true;
        m_ledger.m_waiting.erase(m_name);
        m_fulfiller.fulfill(std::move(decision));
    }

private:
    kj::PromiseFulfiller<claim_decision> &m_fulfiller;
    claim_ledger &m_ledger;
    partition_state &m_state;
    std::string m_name;
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
    auto decided = kj::newAdaptedPromise<claim_decision, waiting_claim>(*this, partitionOf(request),
                                                                        request, contentHash);
    auto expired = m_loop.sleep(std::max(deadline - m_clock.now(), duration::zero())).then([] {
        return claim_decision{"", claim_outcome::Unavailable, {}};
    });
    return decided.exclusiveJoin(kj::mv(expired));
}

void claim_ledger::finish(const request_id &request, const std::string &owner, claim_state state,
                          const std::string &result)
{
    partition_state &partition = partitionOf(request);
    partition.partition.finish(request, owner, state, result);
    drive(partition);
}

void claim_ledger::release(const request_id &request, const std::string &owner)
{
    partition_state &partition = partitionOf(request);
    partition.partition.release(request, owner);
    drive(partition);
}

void claim_ledger::drive(partition_state &state)
{
    if (state.isDriving)
        return;
    state.isDriving = true;
    // Work that arrives in the same turn of the loop goes with the same swap.
    state.driving = kj::evalLater([this, &state] {
                        return step(state);
                    }).eagerlyEvaluate([this](kj::Exception &&failure) {
        m_log.error("claims-failed", {{"reason", failure.getDescription().cStr()}});
    });
}

kj::Promise<void> claim_ledger::step(partition_state &state)
{
    announce(state);
    if (!state.partition.hasWork()) {
        state.isDriving = false;
        return kj::READY_NOW;
    }
    if (state.partition.needsRead())
        return readValue(state);
    const auto now = std::chrono::floor<std::chrono::seconds>(m_clock.wallNow());
    auto write = state.partition.nextWrite(now.time_since_epoch());
    announce(state);
    if (!write) {
        state.isDriving = false;
        return kj::READY_NOW;
    }
    return writeValue(state, std::move(*write));
}

kj::Promise<void> claim_ledger::readValue(partition_state &state)
{
    return m_store.read(state.key).then(
        [this, &state](platform::read_result &&result) -> kj::Promise<void> {
            if (result.outcome == platform::read_outcome::Answered) {
                state.partition.onValueRead(result.value.storeRevision, result.value.value);
                if (!state.partition.needsRead())
                    return step(state);
                m_log.error("claims-unreadable", {{"key", state.key}});
            }
            return m_loop.sleep(m_retryInterval).then([this, &state] { return step(state); });
        });
}

kj::Promise<void> claim_ledger::writeValue(partition_state &state, claim_write write)
{
    return m_store.compareAndSwap(state.key, write.expected, std::move(write.value))
        .then([this, &state](platform::swap_result &&result) -> kj::Promise<void> {
            switch (result.outcome) {
            case platform::swap_outcome::Swapped:
                state.partition.onWritten(result.storeRevision);
                return step(state);
            case platform::swap_outcome::Conflict:
                state.partition.onWriteConflict(result.current.storeRevision, result.current.value);
                return step(state);
            case platform::swap_outcome::Lost:
                state.partition.onWriteOutcomeUnknown();
                return step(state);
            case platform::swap_outcome::NotSent:
                state.partition.onWriteNotSent();
                break;
            }
            return m_loop.sleep(m_retryInterval).then([this, &state] { return step(state); });
        });
}

void claim_ledger::announce(partition_state &state)
{
    for (claim_decision &decision : state.partition.takeDecisions()) {
        const auto found = m_waiting.find(decision.owner);
        if (found != m_waiting.end())
            found->second->settle(std::move(decision));
    }
}

kj::Promise<void> claim_ledger::flush()
{
    constexpr std::chrono::milliseconds checkInterval{5};

    for (const auto &state : m_partitions) {
        if (state->isDriving)
            return m_loop.sleep(checkInterval).then([this] { return flush(); });
    }
    return kj::READY_NOW;
}

} // namespace mustardcourse::daemon
