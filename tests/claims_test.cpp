#include "property.h"

#include <mustardcourse/requests/claim_partition.h>

#include <algorithm>
#include <deque>
#include <set>

using namespace mustardcourse;
using namespace mustardcourse::requests;

namespace {

/** A stored value with compare-and-swap, whose responses can be lost and whose writes can be
    delayed. */
struct fake_store
{
    struct delayed_write
    {
        claim_write write;
    };

    revision currentRevision;
    std::string value;
    std::deque<claim_write> delayedWrites;

    bool compareAndSwap(const claim_write &write)
    {
        if (write.expectedRevision != currentRevision)
            return false;
        currentRevision = revision(currentRevision.value() + 1);
        value = write.value;
        return true;
    }
};

/** A host with its claim partition and the claims that it has requested and been granted. */
struct fake_host
{
    std::string name;
    claim_partition partition{claim_limits{}};
    std::uint64_t nextOwner = 0;
    std::map<std::string, request_id> undecidedClaims{};
    std::map<std::string, request_id> grantedClaims{};

    std::string submit(const request_id &request)
    {
        const std::string owner = name + "-" + std::to_string(++nextOwner);
        undecidedClaims.emplace(owner, request);
        partition.submit(request, owner, 1);
        return owner;
    }
};

constexpr std::chrono::seconds now{1000};

/** Carries out the next read or write of a host; the number selects the outcome of a write. */
void drive(fake_host &host, fake_store &store, std::uint8_t outcome)
{
    if (host.partition.needsRead()) {
        host.partition.onValueRead(store.currentRevision, store.value);
        return;
    }
    const auto write = host.partition.nextWrite(now);
    if (!write)
        return;
    switch (outcome % 5) {
    case 0:
        host.partition.onWriteNotSent();
        return;
    case 1:
        // The write takes effect, but its response is lost.
        store.compareAndSwap(*write);
        host.partition.onWriteOutcomeUnknown();
        return;
    case 2:
        // The write is still in transit when the host stops waiting for its response.
        store.delayedWrites.push_back(*write);
        host.partition.onWriteOutcomeUnknown();
        return;
    default:
        if (store.compareAndSwap(*write))
            host.partition.onWritten(store.currentRevision);
        else
            host.partition.onWriteConflict(store.currentRevision, store.value);
    }
}

void processDecisions(fake_host &host, std::map<request_id, int> &sendCounts)
{
    for (const claim_decision &decision : host.partition.takeDecisions()) {
        const request_id request = host.undecidedClaims.at(decision.owner);
        host.undecidedClaims.erase(decision.owner);
        if (decision.outcome != claim_outcome::Granted)
            continue;
        ++sendCounts[request];
        host.grantedClaims.emplace(decision.owner, request);
    }
}

} // namespace

TEST_CASE("a claim is granted once and a repeated request gets its record")
{
    fake_store store;
    fake_host first{.name = "a"};
    fake_host second{.name = "b"};
    std::map<request_id, int> sendCounts;
    const request_id request("booking-1");

    const std::string owner = first.submit(request);
    for (int step = 0; step < 3; ++step)
        drive(first, store, 4);
    processDecisions(first, sendCounts);
    CHECK(sendCounts[request] == 1);

    second.submit(request);
    drive(second, store, 4);
    auto decisions = second.partition.takeDecisions();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].outcome == claim_outcome::AlreadyClaimed);
    CHECK(decisions[0].record.state == claim_state::Claimed);

    first.partition.finish(request, owner, claim_state::Done, "lot 17");
    drive(first, store, 4);
    second.submit(request);
    drive(second, store, 4);
    drive(second, store, 4);
    decisions = second.partition.takeDecisions();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].record.owner == owner);
}

TEST_CASE("a released request id can be claimed again")
{
    fake_store store;
    fake_host host{.name = "a"};
    std::map<request_id, int> sendCounts;
    const request_id request("booking-1");
    const std::string owner = host.submit(request);
    for (int step = 0; step < 3; ++step)
        drive(host, store, 4);
    processDecisions(host, sendCounts);
    host.partition.release(request, owner);
    drive(host, store, 4);
    host.submit(request);
    drive(host, store, 4);
    processDecisions(host, sendCounts);
    CHECK(sendCounts[request] == 2);
}

TEST_CASE("a full partition refuses claims until an old record expires")
{
    claim_partition partition({.retention = std::chrono::seconds(10), .maximumRecords = 1});
    partition.onValueRead(revision(), "");
    partition.submit(request_id("one"), "a-1", 1);
    REQUIRE(partition.nextWrite(now));
    partition.onWritten(revision(1));
    partition.submit(request_id("two"), "a-2", 1);
    CHECK_FALSE(partition.nextWrite(now).has_value());
    const auto decisions = partition.takeDecisions();
    REQUIRE(decisions.size() == 2);
    CHECK(decisions[1].outcome == claim_outcome::Full);
    partition.submit(request_id("two"), "a-3", 1);
    CHECK(partition.nextWrite(now + std::chrono::seconds(11)).has_value());
}

TEST_CASE("an unreadable table is never overwritten")
{
    claim_partition partition({});
    partition.submit(request_id("one"), "a-1", 1);
    partition.onValueRead(revision(3), "not a table");
    CHECK(partition.needsRead());
    CHECK_FALSE(partition.nextWrite(now).has_value());
}

TEST_CASE("no request id is granted twice with lost responses or late writes or withdrawals")
{
    CHECK_PROPERTY("claims of three hosts", [](const std::vector<std::uint16_t> &events) {
        fake_store store;
        std::vector<fake_host> hosts(3);
        hosts[0].name = "a";
        hosts[1].name = "b";
        hosts[2].name = "c";
        std::map<request_id, int> sendCounts;
        for (const std::uint16_t event : events) {
            fake_host &host = hosts[event % 3];
            const request_id request("r" + std::to_string(event / 16 % 4));
            switch (event / 3 % 8) {
            case 0:
                host.submit(request);
                break;
            case 1:
                if (!host.undecidedClaims.empty()) {
                    const std::string owner = host.undecidedClaims.begin()->first;
                    host.partition.withdraw(owner);
                    host.undecidedClaims.erase(owner);
                }
                break;
            case 2:
                if (!host.grantedClaims.empty()) {
                    const auto &[owner, granted] = *host.grantedClaims.begin();
                    host.partition.finish(granted, owner, claim_state::Done, "ran");
                    host.grantedClaims.erase(host.grantedClaims.begin());
                }
                break;
            case 3:
                if (!store.delayedWrites.empty()) {
                    store.compareAndSwap(store.delayedWrites.front());
                    store.delayedWrites.pop_front();
                }
                break;
            default:
                drive(host, store, static_cast<std::uint8_t>(event / 64));
                processDecisions(host, sendCounts);
                break;
            }
        }
        for (const auto &[request, count] : sendCounts)
            RC_ASSERT(count <= 1);
    });
}
