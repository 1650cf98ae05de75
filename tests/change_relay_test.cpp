#include "loop_fixture.h"
#include "property.h"
#include "raw_responses.h"
#include "scripted_peer.h"

#include <mustardcourse/store/relay_choice.h>
#include <mustardcourse/store/relayed_store.h>

#include <deque>

using namespace mustardcourse;
using namespace mustardcourse::store;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t relayPort = 20985;

store_position at(std::uint64_t number, std::uint64_t era = 1)
{
    return {store_era(era), revision(number)};
}

store_item item(const std::string &key, std::uint64_t modRevision, const std::string &value = "v")
{
    return {key, value, at(modRevision), false};
}

store_batch batch(std::vector<store_item> items, std::uint64_t currentRevision)
{
    return {store_failure::None, std::move(items), at(currentRevision), false};
}

std::vector<std::string> keysOf(const std::optional<store_batch> &changes)
{
    std::vector<std::string> keys;
    if (changes) {
        for (const store_item &change : changes->items)
            keys.push_back(change.key);
    }
    return keys;
}

/** A store whose watches are answered explicitly, in order. */
struct scripted_store
{
    struct watch_call
    {
        store_position since;
        duration wait;
        batch_handler handler;
    };

    void list(std::string_view, std::string_view, batch_handler) { ++lists; }
    void watch(std::string_view, const store_position &since, duration wait, batch_handler handler)
    {
        watches.push_back({since, wait, std::move(handler)});
    }
    void answer(store_batch changes)
    {
        REQUIRE_FALSE(watches.empty());
        const auto handler = watches.front().handler;
        watches.pop_front();
        handler(std::move(changes));
    }

    std::size_t lists = 0;
    std::deque<watch_call> watches;
};

/** A host that watches the store through a relay, and that relay. */
struct fixture : tests::loop_fixture
{
    explicit fixture(const relay_limits &limits = {})
        : relay(time, limits)
    {
        relay.setServing(true);
        relay.onWatchResult(at(10), batch({}, 10));
    }

    void watch(std::uint64_t since)
    {
        relayedStore.watch("", at(since), 5500ms, [this](store_batch &&changes) {
            results.push_back(std::move(changes));
        });
    }

    logger log{time, "test", log_level::Error};
    change_relay relay;
    change_relay ownRelay{time};
    /** Whether the relay accepts requests but never responds, as a frozen process does. */
    bool isRelayUnresponsive = false;
    std::vector<std::unique_ptr<http::caller_exchange>> heldExchanges;
    std::size_t relayRequestCount = 0;
    http::caller_server server{loop, time, endpoint("127.0.0.1", relayPort), [this](auto exchange) {
                                   ++relayRequestCount;
                                   if (isRelayUnresponsive)
                                       heldExchanges.push_back(std::move(exchange));
                                   else
                                       relay.serve(std::move(exchange));
                               }};
    scripted_store directStore;
    std::size_t storeUnreachableCount = 0;
    http::receive_memory memory{megabytes(20)};
    relayed_store<scripted_store> relayedStore{
        loop, time, log, directStore, ownRelay, memory, [this] { ++storeUnreachableCount; }};
    std::vector<store_batch> results;
};

} // namespace

TEST_CASE("the change log returns all changes after a revision or none")
{
    struct row
    {
        std::string name;
        std::uint64_t since;
        bool isAvailable;
        std::vector<std::string> keys;
    };
    const row rows[] = {
        {"before the first logged change", 9, false, {}},
        {"at the start of the log", 10, true, {"a", "b", "c"}},
        {"within the log", 11, true, {"b", "c"}},
        {"at the end of the log", 14, true, {}},
        {"beyond the end of the log", 20, true, {}},
    };
    change_log log;
    CHECK_FALSE(log.changesSince(at(0)));
    log.append(at(10), batch({item("a", 11), item("b", 12)}, 13));
    log.append(at(12), batch({item("b", 12), item("c", 14)}, 14));
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        const auto changes = log.changesSince(at(testCase.since));
        CHECK(changes.has_value() == testCase.isAvailable);
        CHECK(keysOf(changes) == testCase.keys);
        if (changes)
            CHECK_FALSE(changes->current.isBefore(at(testCase.since)));
    }
    // Changes between revisions 14 and 30 are missing.
    log.append(at(30), batch({item("d", 31)}, 31));
    CHECK_FALSE(log.changesSince(at(14)));
    CHECK(keysOf(log.changesSince(at(30))) == std::vector<std::string>{"d"});
}

TEST_CASE("the change log returns only the newest change of each key")
{
    struct row
    {
        std::string name;
        std::uint64_t since;
        std::vector<std::string> keys;
    };
    const row rows[] = {
        {"before all changes", 10, {"b", "c", "a"}},
        {"between two changes of a key", 12, {"c", "a"}},
        {"before the last change", 13, {"a"}},
        {"after the last change", 14, {}},
    };
    change_log log;
    log.append(at(10), batch({item("a", 11), item("b", 12), item("c", 13)}, 13));
    log.append(at(13), batch({item("a", 14)}, 14));
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        CHECK(keysOf(log.changesSince(at(testCase.since))) == testCase.keys);
    }
}

TEST_CASE("the change log returns nothing to a reader of another era of the store")
{
    struct row
    {
        std::string name;
        store_position since;
        bool isAvailable;
    };
    const row rows[] = {
        {"the era of the log", at(11, 2), true},
        {"an earlier era within the log's revisions", at(11, 1), false},
        {"an earlier era beyond the log's revisions", at(40, 1), false},
        {"a later era", at(11, 3), false},
    };
    change_log log;
    log.append(at(30, 1), batch({item("old", 31)}, 31));
    // The store was restored: this watch began in era 1 and was answered in era 2.
    store_batch changes = batch({}, 10);
    changes.current = at(10, 2);
    log.append(at(31, 1), changes);
    store_item change = item("new", 11);
    change.modified = at(12, 2);
    log.append(at(10, 2), {store_failure::None, {change}, at(12, 2), false});
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        const auto available = log.changesSince(testCase.since);
        CHECK(available.has_value() == testCase.isAvailable);
        if (available)
            CHECK(keysOf(available) == std::vector<std::string>{"new"});
    }
}

TEST_CASE("the change log drops its changes if the store's revision decreases without another era")
{
    change_log log;
    log.append(at(10), batch({item("old", 31)}, 31));
    // The store was restored at revision 12, and this host has listed it.
    log.append(at(12), batch({item("new", 13)}, 13));
    CHECK_FALSE(log.changesSince(at(12)));
    log.append(at(13), batch({item("newer", 14)}, 14));
    CHECK(keysOf(log.changesSince(at(13))) == std::vector<std::string>{"newer"});
}

TEST_CASE("a reader of the bounded change log misses no change")
{
    CHECK_PROPERTY("log", [](const std::vector<std::uint8_t> &sizes) {
        change_log log;
        store_position readerPosition = at(100);
        std::uint64_t now = 100;
        std::map<std::string, std::uint64_t> store;
        std::map<std::string, std::uint64_t> mirrored;
        std::size_t writeCount = 0;
        for (const std::uint8_t size : sizes) {
            const store_position since = at(now);
            store_batch changes;
            // Transactions of two keys; large ones soon exceed the capacity of the log.
            for (std::uint8_t i = 0; i < size % 8; ++i) {
                ++now;
                for (const char *key : {"x", "y"}) {
                    const std::string name = key + std::to_string(++writeCount % 700);
                    changes.items.push_back(item(name, now, std::string(size * 900U, 'v')));
                    store[name] = now;
                }
            }
            changes.current = at(now);
            log.append(since, changes);
            if (size % 3 != 0)
                continue;
            const auto available = log.changesSince(readerPosition);
            if (!available) {
                mirrored = store;
                readerPosition = at(now);
                continue;
            }
            for (const store_item &change : available->items)
                mirrored[change.key] = change.modified.number().value();
            readerPosition = available->current;
            RC_ASSERT(mirrored == store);
        }
    });
}

TEST_CASE("a batch survives encoding and other bytes are rejected")
{
    CHECK_PROPERTY("batch",
                   [](const std::vector<std::string> &values, std::uint64_t currentRevision) {
                       store_batch original;
                       original.current = at(currentRevision, values.size());
                       for (const std::string &value : values)
                           original.items.push_back(
                               {"key", value, at(value.size(), values.size()), value.empty()});
                       const store_batch decoded = decodeBatch(encodeBatch(original));
                       RC_ASSERT(decoded.failure == store_failure::None);
                       RC_ASSERT(decoded.current == original.current);
                       RC_ASSERT(decoded.items.size() == original.items.size());
                       for (std::size_t i = 0; i < decoded.items.size(); ++i) {
                           RC_ASSERT(decoded.items[i].value == original.items[i].value);
                           RC_ASSERT(decoded.items[i].modified == original.items[i].modified);
                           RC_ASSERT(decoded.items[i].isDeleted == original.items[i].isDeleted);
                       }
                   });
    CHECK_PROPERTY("bytes", [](const std::string &bytes) {
        // Any result is valid; there must be no crash or exception.
        const store_batch decoded = decodeBatch(bytes);
        RC_ASSERT(decoded.failure == store_failure::None || decoded.items.empty());
    });
    CHECK(decodeBatch("short").failure == store_failure::Malformed);
}

TEST_CASE("all hosts of a data centre choose the same relay and a small data centre has none")
{
    struct row
    {
        std::string name;
        std::size_t members;
        bool hasRelay;
    };
    const row rows[] = {{"none", 0, false}, {"a few", 3, false}, {"many", 20, true}};
    const data_centre_id riga("riga");
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        member_entries members;
        for (std::size_t i = 0; i < testCase.members; ++i)
            members[fmt::format("host-{}", i)] = {riga, endpoint("10.0.0.1", 7000)};
        members["elsewhere"] = {data_centre_id("jelgava"), endpoint("10.0.0.2", 7000)};
        members["older"] = {riga, std::nullopt};
        const std::vector<std::string> ranked = rankRelays(members, riga);
        REQUIRE(!ranked.empty() == testCase.hasRelay);
        if (ranked.empty())
            continue;
        CHECK(ranked.size() == testCase.members);
        for (const std::string &host : ranked)
            CHECK(members.at(host).dataCentre == riga);
        // Removing a host changes the order of no others.
        for (const auto &[host, entry] : member_entries(members)) {
            member_entries remaining = members;
            remaining.erase(host);
            std::vector<std::string> others = ranked;
            std::erase(others, host);
            CHECK(rankRelays(remaining, riga) == others);
        }
    }
}

TEST_CASE("the strongest hosts relay no changes if there are enough others")
{
    const data_centre_id riga("riga");
    member_entries members;
    for (std::size_t i = 0; i < 20; ++i)
        members[fmt::format("host-{}", i)] = {riga, endpoint("10.0.0.1", 7000),
                                              core_share(i % 5 == 0 ? 0.5 : 0.12)};
    members["older"] = {riga, endpoint("10.0.0.2", 7000)};
    const std::vector<std::string> ranked = rankRelays(members, riga);
    CHECK(ranked.size() == 17);
    for (const std::string &host : ranked)
        CHECK(members.at(host).cores != core_share(0.5));
    for (auto &[host, entry] : members)
        entry.cores = core_share(0.5);
    CHECK(rankRelays(members, riga).size() == 21);
}

TEST_CASE("changes arrive through the next relay after the first one has failed")
{
    fixture f;
    constexpr std::uint16_t closedPort = 1;
    f.relayedStore.setRelays({endpoint("127.0.0.1", closedPort), endpoint("127.0.0.1", relayPort)});
    f.watch(10);
    f.runUntil([&] { return !f.directStore.watches.empty(); }, 500ms);
    f.directStore.answer(batch({item("a", 11)}, 11));
    REQUIRE(f.results.size() == 1);
    f.watch(11);
    f.runFor(30ms);
    CHECK(f.directStore.watches.empty());
    f.relay.onWatchResult(at(10), batch({item("a", 11), item("b", 12)}, 12));
    f.runUntil([&] { return f.results.size() == 2; }, 500ms);
    CHECK(f.results[1].items.size() == 1);
}

TEST_CASE("a host that is prepared to be the relay has the changes that it got through another one")
{
    fixture f;
    f.ownRelay.setServing(true);
    f.relayedStore.setRelays({endpoint("127.0.0.1", relayPort)});
    f.relay.onWatchResult(at(10), batch({item("a", 11)}, 11));
    f.watch(10);
    f.runUntil([&] { return f.results.size() == 1; });
    constexpr std::uint16_t ownPort = relayPort + 1;
    http::caller_server ownServer(f.loop, f.time, endpoint("127.0.0.1", ownPort),
                                  [&](auto exchange) { f.ownRelay.serve(std::move(exchange)); });
    http::client_pool follower(f.loop, f.time, endpoint("127.0.0.1", ownPort), {});
    std::optional<http::exchange_result> result;
    follower.send({.bytes = fmt::format("GET {} HTTP/1.1\r\nHost: h\r\n\r\n", relayTarget(at(10))),
                   .matchesRequest = {},
                   .onEnd = [&](http::exchange_result &&ended) { result = std::move(ended); }});
    f.runUntil([&] { return result.has_value(); });
    CHECK(result->answer.status == relay_status::changes);
    CHECK(decodeBatch(result->answer.body).items.size() == 1);
}

TEST_CASE("a member entry survives encoding with and without a relay address")
{
    const data_centre_id riga("riga");
    const member_entry entries[] = {{riga, endpoint("10.0.0.1", 7000)}, {riga, std::nullopt}};
    for (const member_entry &entry : entries)
        CHECK(decodeMember(encodeMember(entry)) == entry);
    CHECK(decodeMember("riga nonsense") == member_entry{riga, std::nullopt});
    const member_entry strong{riga, endpoint("10.0.0.1", 7000), core_share(0.5)};
    CHECK(decodeMember(encodeMember(strong)) == strong);
    for (const char *cores : {"nonsense", "-1", "nan", "1e999", "0.5x", ""})
        CHECK(decodeMember(fmt::format("riga 10.0.0.1:7000 {}", cores))
              == member_entry{riga, endpoint("10.0.0.1", 7000)});
}

TEST_CASE("changes arrive through the relay without a call to the store")
{
    fixture f;
    f.relayedStore.setRelays({endpoint("127.0.0.1", relayPort)});
    f.watch(10);
    f.runFor(50ms);
    CHECK(f.results.empty());
    f.relay.onWatchResult(at(10), batch({item("a", 11)}, 11));
    f.runUntil([&] { return f.results.size() == 1; });
    CHECK(f.results[0].items.size() == 1);
    CHECK(f.results[0].current == at(11));
    // A host that is behind gets a response at once.
    f.watch(10);
    f.runUntil([&] { return f.results.size() == 2; });
    CHECK(f.results[1].items.size() == 1);
    CHECK(f.directStore.watches.empty());
}

TEST_CASE("a watch that asks whether the store serves is not answered by a relay")
{
    fixture f;
    f.relayedStore.setRelays({endpoint("127.0.0.1", relayPort)});
    f.relay.onWatchResult(at(10), batch({item("a", 11)}, 11));
    f.relayedStore.watch("", at(10), 1ms, [&](store_batch &&) {});
    CHECK(f.directStore.watches.size() == 1);
}

TEST_CASE("a relay sends no more than its share of the link and is used again afterwards")
{
    constexpr std::size_t changeSize = 100'000;
    // The burst of this link holds one such change, and its share another one every 400 ms.
    fixture f({.linkRate = data_rate::megabitsPerSecond(8)});
    f.relayedStore.setRelays({endpoint("127.0.0.1", relayPort)});
    const store_batch large = batch({item("a", 11, std::string(changeSize - 1, 'v'))}, 11);
    f.relay.onWatchResult(at(10), large);
    f.watch(10);
    f.runUntil([&] { return f.results.size() == 1; });
    CHECK(f.directStore.watches.empty());
    f.watch(10);
    f.runUntil([&] { return f.directStore.watches.size() == 1; }, 500ms);
    CHECK(f.relay.overLimitCount() == 1);
    f.directStore.answer(large);
    CHECK(f.results.size() == 2);
    f.runFor(500ms);
    f.watch(10);
    f.runUntil([&] { return f.results.size() == 3; }, 500ms);
    CHECK(f.directStore.watches.empty());
    CHECK(f.relay.sentBytes() >= 2 * changeSize);
}

TEST_CASE("a host watches the store directly when its relay fails")
{
    struct row
    {
        std::string name;
        std::function<void(fixture &)> setUp;
        std::function<void(fixture &)> whilePending;
        duration limit;
        std::size_t storeUnreachableCount;
        /** Whether the next changes are requested from it again. */
        bool isAskedAgain = false;
    };
    const std::function<void(fixture &)> nothing = [](fixture &) {};
    const row rows[] = {
        {"it is not serving", [](fixture &f) { f.relay.setServing(false); }, nothing, 500ms, 0,
         true},
        {"its log lacks the changes",
         [](fixture &f) { f.relay.onWatchResult(at(50), batch({}, 50)); }, nothing, 500ms, 0, true},
        {"it does not respond", [](fixture &f) { f.isRelayUnresponsive = true; }, nothing, 2300ms,
         0},
        {"it refuses connections", [](fixture &f) { f.server.stopAccepting(); }, nothing, 500ms, 0},
        {"the store becomes unreachable for it", nothing,
         [](fixture &f) {
             f.relay.onWatchResult(at(10), {store_failure::Unanswered, {}, {}, false});
         },
         500ms, 1},
        {"it has followed the store into another era",
         [](fixture &f) {
             f.relay.onWatchResult(at(10), {store_failure::None, {}, at(10, 2), false});
         },
         nothing, 500ms, 0, true},
        {"it learns of another era", nothing, [](fixture &f) { f.relay.onNewEra(); }, 500ms, 0,
         true},
        {"the history of the store is compacted", nothing,
         [](fixture &f) {
             f.relay.onWatchResult(at(10), {store_failure::HistoryCompacted, {}, {}, false});
         },
         500ms, 0, true},
        {"it stops serving", nothing, [](fixture &f) { f.relay.setServing(false); }, 500ms, 0,
         true},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        fixture f;
        f.relayedStore.setRelays({endpoint("127.0.0.1", relayPort)});
        testCase.setUp(f);
        f.watch(10);
        f.runFor(30ms);
        testCase.whilePending(f);
        f.runUntil([&] { return !f.directStore.watches.empty(); }, testCase.limit);
        CHECK(f.directStore.watches.front().since == at(10));
        // The changes are already overdue, so the wait of the direct watch is shortened.
        CHECK(f.directStore.watches.front().wait <= 1500ms);
        CHECK(f.storeUnreachableCount == testCase.storeUnreachableCount);
        f.directStore.answer(batch({item("a", 11)}, 11));
        CHECK(f.results.size() == 1);
        const std::size_t requestsBefore = f.relayRequestCount;
        f.watch(11);
        if (testCase.isAskedAgain) {
            // It may have the next changes, although it had not the last ones.
            f.runUntil([&] { return f.relayRequestCount > requestsBefore; }, 500ms);
            continue;
        }
        // The relay is avoided for a while, and watches of the responsive store have full length.
        REQUIRE_FALSE(f.directStore.watches.empty());
        CHECK(f.directStore.watches.front().wait == 5500ms);
    }
}

TEST_CASE("a host takes no changes from a broken response of its relay")
{
    constexpr std::uint16_t brokenRelayPort = relayPort + 1;
    const tests::response_content content{"", encodeBatch(batch({item("a", 11)}, 11))};
    for (const tests::raw_response &testCase : tests::brokenResponses(content)) {
        CAPTURE(testCase.name);
        fixture f;
        const tests::scripted_peer brokenRelay(f.loop, endpoint("127.0.0.1", brokenRelayPort),
                                               testCase.bytes, true);
        f.relayedStore.setRelays({endpoint("127.0.0.1", brokenRelayPort)});
        f.watch(10);
        f.runUntil([&] { return !f.directStore.watches.empty(); }, 500ms);
        CHECK(f.results.empty());
    }
}
