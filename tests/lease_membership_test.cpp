#include "loop_fixture.h"

#include <mustardcourse/store/lease_membership.h>

using namespace mustardcourse;
using namespace mustardcourse::store;
using namespace std::chrono_literals;

namespace {

/** A store that answers at once with a configurable result and counts its calls. */
struct counting_store
{
    void grantLease(duration, const lease_handler &handler)
    {
        ++calls;
        handler({failure, {era, "1"}, 5s});
    }
    void renewLease(const lease_id &, const completion_handler &handler)
    {
        ++calls;
        const bool shouldUseConfiguredResult = doesLeaseExist || failure != store_failure::None;
        handler(shouldUseConfiguredResult ? failure : store_failure::NotFound);
    }
    void revokeLease(const lease_id &) { ++revokedLeases; }
    void put(const std::string &key, const std::string &, const lease_id &,
             const completion_handler &handler)
    {
        ++calls;
        if (failure == store_failure::None)
            writtenKey = key;
        handler(failure);
    }

    store_failure failure = store_failure::None;
    store_era era{1};
    bool doesLeaseExist = true;
    std::size_t calls = 0;
    std::size_t revokedLeases = 0;
    std::string writtenKey;
};

struct fixture : tests::loop_fixture
{
    logger log{time, "test", log_level::Error};
    counting_store store;
    std::size_t reportedFailures = 0;
    lease_membership<counting_store> membership{loop,
                                                log,
                                                store,
                                                {.key = "hosts/a",
                                                 .value = "riga",
                                                 .leaseLifetime = 5s,
                                                 .renewalInterval = 80ms,
                                                 .initialRetryDelay = 10ms,
                                                 .maximumRetryDelay = 80ms},
                                                [this] { ++reportedFailures; }};
};

} // namespace

TEST_CASE("a host writes its key again when the lease expires and revokes the lease on leaving")
{
    fixture f;
    f.membership.join();
    CHECK(f.store.writtenKey == "hosts/a");
    f.store.writtenKey.clear();
    f.store.doesLeaseExist = false;
    f.runUntil([&] { return f.store.writtenKey == "hosts/a"; });
    CHECK(f.reportedFailures == 0);
    f.membership.leave();
    CHECK(f.store.revokedLeases == 1);
    const std::size_t calls = f.store.calls;
    f.runFor(200ms);
    CHECK(f.store.calls == calls);
}

TEST_CASE("failed calls are repeated with backoff and the key is written soon after recovery")
{
    for (const store_failure failure : {store_failure::Refused, store_failure::Unanswered}) {
        CAPTURE(nameOf(failure));
        fixture f;
        f.store.failure = failure;
        f.membership.join();
        f.runFor(500ms);
        // Delays of 10, 20, 40 and then 80 ms; without backoff there would be fifty calls.
        CHECK(f.store.calls >= 5);
        CHECK(f.store.calls <= 10);
        CHECK(f.reportedFailures == f.store.calls);
        f.store.failure = store_failure::None;
        f.runFor(130ms);
        CHECK(f.store.writtenKey == "hosts/a");
    }
}

TEST_CASE("a host joins again in a new era of the store although its lease seems to exist")
{
    fixture f;
    f.membership.join();
    f.membership.onNewEra(store_era(1));
    f.store.writtenKey.clear();
    f.runFor(20ms);
    CHECK(f.store.writtenKey.empty());
    f.store.era = store_era(2);
    f.membership.onNewEra(store_era(2));
    f.membership.leave();
    // The id of a lease of an earlier era may be another host's now.
    CHECK(f.store.revokedLeases == 0);

    fixture g;
    g.membership.join();
    g.store.writtenKey.clear();
    g.store.era = store_era(2);
    g.membership.onNewEra(store_era(2));
    g.runUntil([&] { return g.store.writtenKey == "hosts/a"; }, 60ms);
}
