#include "store_server.h"

#include <mustardcourse/platform/store_client.h>

#include <doctest/doctest.h>

using namespace mustardcourse;
using namespace mustardcourse::platform;

namespace {

using namespace std::chrono_literals;

const endpoint storeAddress("127.0.0.1", 20951);

struct store_pair
{
    system_clock clock;
    wire::event_loop loop;
    standins::store_server server{loop, clock, storeAddress};
    store_client client{loop, storeAddress, 300ms};
};

} // namespace

TEST_CASE("compareAndSwap writes only if the key has the expected revision")
{
    store_pair store;
    CHECK(store.loop.run(store.client.read("teams/a")).value.storeRevision == revision());
    const swap_result first =
        store.loop.run(store.client.compareAndSwap("teams/a", revision(), "one"));
    CHECK(first.outcome == swap_outcome::Swapped);
    const swap_result conflict =
        store.loop.run(store.client.compareAndSwap("teams/a", revision(), "two"));
    CHECK(conflict.outcome == swap_outcome::Conflict);
    CHECK(conflict.current.value == "one");
    CHECK(conflict.current.storeRevision == first.storeRevision);
    const swap_result second =
        store.loop.run(store.client.compareAndSwap("teams/a", first.storeRevision, "two"));
    CHECK(second.outcome == swap_outcome::Swapped);
    CHECK(second.storeRevision > first.storeRevision);
    CHECK(store.loop.run(store.client.read("teams/a")).value.value == "two");
}

TEST_CASE("a watch reports changes under its prefix only")
{
    store_pair store;
    auto pendingWatch = store.client.watch("teams/", revision(), 5s);
    store.loop.run(store.loop.sleep(20ms));
    store.loop.run(store.client.compareAndSwap("claims/00", revision(), "x"));
    store.loop.run(store.client.compareAndSwap("teams/a", revision(), "one"));
    const watch_result result = store.loop.run(kj::mv(pendingWatch));
    REQUIRE(result.changes.size() == 1);
    CHECK(result.changes[0].key == "teams/a");
    const watch_result resultWithoutChanges =
        store.loop.run(store.client.watch("teams/", result.nextRevision, 50ms));
    CHECK(resultWithoutChanges.outcome == read_outcome::Answered);
    CHECK(resultWithoutChanges.changes.empty());
}

TEST_CASE("the client reports the outcome that fits each fault of the store")
{
    struct row
    {
        const char *name;
        standins::store_faults faults;
        swap_outcome outcome;
        bool isWritten;
    };
    const row rows[] = {
        {"down", {.isDown = true}, swap_outcome::Lost, false},
        {"silent", {.isUnresponsive = true}, swap_outcome::Lost, false},
        {"too slow", {.delay = 500ms}, swap_outcome::Lost, true},
        {"slow", {.delay = 50ms}, swap_outcome::Swapped, true},
        {"response lost", {.lostSwapResponses = 1}, swap_outcome::Lost, true},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        store_pair store;
        store.server.faults() = item.faults;
        const swap_result result =
            store.loop.run(store.client.compareAndSwap("teams/a", revision(), "one"));
        CHECK(result.outcome == item.outcome);
        store.loop.run(store.loop.sleep(400ms));
        // A slow store may or may not apply the write after its client has disconnected.
        if (std::string(item.name) != "too slow")
            CHECK(store.server.valueOf("teams/a").has_value() == item.isWritten);
        store.server.faults() = {};
        CHECK(store.loop.run(store.client.read("teams/a")).outcome == read_outcome::Answered);
    }
}

TEST_CASE("calls to an unreachable store end as not sent or unavailable")
{
    wire::event_loop loop;
    store_client client(loop, endpoint("127.0.0.1", 20952), 300ms);
    CHECK(loop.run(client.compareAndSwap("a", revision(), "b")).outcome == swap_outcome::NotSent);
    CHECK(loop.run(client.read("a")).outcome == read_outcome::Unavailable);
}
