#include "loop_fixture.h"

#include <mustardcourse/store/lease_membership.h>

using namespace mustardcourse;
using namespace mustardcourse::store;
using namespace std::chrono_literals;

namespace {

/** A store that answers at once, with a failure or not, and counts the calls. */
struct counting_store
{
    void grantLease(duration, const lease_handler &handler)
    {
        ++calls;
        handler({failure, failure == store_failure::None ? "1" : "", 5s});
    }
    void renewLease(const std::string &, const completion_handler &handler)
    {
        ++calls;
        const bool isKnown = isLeaseKnown || failure != store_failure::None;
        handler(isKnown ? failure : store_failure::NotFound);
    }
    void revokeLease(const std::string &) { ++ended; }
    void put(const std::string &key, const std::string &, const std::string &,
             const completion_handler &handler)
    {
        ++calls;
        if (failure == store_failure::None)
            present = key;
        handler(failure);
    }

    store_failure failure = store_failure::None;
    bool isLeaseKnown = true;
    std::size_t calls = 0;
    std::size_t ended = 0;
    std::string present;
};

struct fixture : tests::loop_fixture
{
    logger log{time, "test", log_level::Error};
    counting_store store;
    std::size_t troubles = 0;
    lease_membership<counting_store> membership{
        loop,
        log,
        store,
        {.key = "hosts/a", .value = "riga", .lifetime = 5s, .renewal = 80ms, .retry = 10ms},
        [this] { ++troubles; }};
};

} // namespace

TEST_CASE("a host keeps its key, takes it again when it lapsed, and gives it back")
{
    fixture f;
    f.membership.join();
    CHECK(f.store.present == "hosts/a");
    f.store.present.clear();
    f.store.isLeaseKnown = false;
    f.runUntil([&] { return f.store.present == "hosts/a"; });
    CHECK(f.troubles == 0);
    f.membership.leave();
    CHECK(f.store.ended == 1);
    const std::size_t calls = f.store.calls;
    f.runFor(200ms);
    CHECK(f.store.calls == calls);
}

TEST_CASE("a store that is away is asked ever more rarely, and soon after its return")
{
    for (const store_failure failure : {store_failure::Refused, store_failure::Unanswered}) {
        CAPTURE(nameOf(failure));
        fixture f;
        f.store.failure = failure;
        f.membership.join();
        f.runFor(500ms);
        // 10, 20, 40 and then every 80 ms; without backing off there would be fifty.
        CHECK(f.store.calls >= 5);
        CHECK(f.store.calls <= 10);
        CHECK(f.troubles == f.store.calls);
        f.store.failure = store_failure::None;
        f.runFor(130ms);
        CHECK(f.store.present == "hosts/a");
    }
}
