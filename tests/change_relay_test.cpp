#include "loop_fixture.h"
#include "property.h"

#include <mustardcourse/store/relay_choice.h>
#include <mustardcourse/store/relayed_store.h>

#include <deque>

using namespace mustardcourse;
using namespace mustardcourse::store;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t relayPort = 20985;

store_item item(const std::string &key, std::uint64_t modRevision, const std::string &value = "v")
{
    return {key, value, revision(modRevision), false};
}

store_batch batch(std::vector<store_item> items, std::uint64_t currentRevision)
{
    return {store_failure::None, std::move(items), revision(currentRevision), false};
}

std::vector<std::string> keysOf(const std::optional<store_batch> &changes)
{
    std::vector<std::string> keys;
    if (changes) {
        for (const store_item &each : changes->items)
            keys.push_back(each.key);
    }
    return keys;
}

/** A store whose watches a test answers one by one. */
struct scripted_store
{
    struct watch_call
    {
        revision since;
        duration wait;
        batch_handler handler;
    };

    void list(std::string_view, std::string_view, batch_handler) { ++lists; }
    void watch(std::string_view, revision since, duration wait, batch_handler handler)
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

/** A host that follows the store, and the relay that it asks. */
struct fixture : tests::loop_fixture
{
    fixture()
    {
        relay.setServing(true);
        relay.noteChanges(revision(10), batch({}, 10));
    }

    void follow(std::uint64_t since)
    {
        followed.watch("", revision(since), 5500ms,
                       [this](store_batch &&changes) { answers.push_back(std::move(changes)); });
    }

    logger log{time, "test", log_level::Error};
    change_relay relay;
    change_relay ownRelay;
    /** Whether the relay's process does not run. */
    bool isFrozen = false;
    std::vector<std::unique_ptr<http::caller_exchange>> frozen;
    http::caller_server server{loop, time, endpoint("127.0.0.1", relayPort), [this](auto exchange) {
                                   if (isFrozen)
                                       frozen.push_back(std::move(exchange));
                                   else
                                       relay.serve(std::move(exchange));
                               }};
    scripted_store direct;
    std::size_t storeAwayCount = 0;
    relayed_store<scripted_store> followed{loop,   time,     log,
                                           direct, ownRelay, [this] { ++storeAwayCount; }};
    std::vector<store_batch> answers;
};

} // namespace

TEST_CASE("a log of changes tells all behind a revision, or that it does not know them")
{
    struct row
    {
        std::string name;
        std::uint64_t since;
        bool isKept;
        std::vector<std::string> keys;
    };
    const row rows[] = {
        {"before the log", 9, false, {}},        {"from its beginning", 10, true, {"a", "b", "c"}},
        {"in the middle", 11, true, {"b", "c"}}, {"at its end", 14, true, {}},
        {"ahead of it", 20, true, {}},
    };
    change_log log;
    CHECK_FALSE(log.changesSince(revision(0)));
    log.append(revision(10), batch({item("a", 11), item("b", 12)}, 13));
    log.append(revision(12), batch({item("b", 12), item("c", 14)}, 14));
    for (const row &each : rows) {
        CAPTURE(each.name);
        const auto changes = log.changesSince(revision(each.since));
        CHECK(changes.has_value() == each.isKept);
        CHECK(keysOf(changes) == each.keys);
        if (changes)
            CHECK(changes->currentRevision >= revision(each.since));
    }
    // A gap: what happened between 14 and 30 is not known.
    log.append(revision(30), batch({item("d", 31)}, 31));
    CHECK_FALSE(log.changesSince(revision(14)));
    CHECK(keysOf(log.changesSince(revision(30))) == std::vector<std::string>{"d"});
}

TEST_CASE("a follower of a bounded log misses no change, whatever is dropped")
{
    CHECK_PROPERTY("log", [](const std::vector<std::uint8_t> &sizes) {
        change_log log;
        revision follower(100);
        std::uint64_t now = 100;
        std::map<std::string, std::uint64_t> store;
        std::map<std::string, std::uint64_t> followed;
        std::size_t written = 0;
        for (const std::uint8_t size : sizes) {
            const revision since(now);
            store_batch changes;
            // Transactions of two keys, some of them larger than the log can keep for long.
            for (std::uint8_t i = 0; i < size % 8; ++i) {
                ++now;
                for (const char *key : {"x", "y"}) {
                    const std::string name = key + std::to_string(++written % 700);
                    changes.items.push_back(item(name, now, std::string(size * 900U, 'v')));
                    store[name] = now;
                }
            }
            changes.currentRevision = revision(now);
            log.append(since, changes);
            if (size % 3 != 0)
                continue;
            const auto seen = log.changesSince(follower);
            if (!seen) {
                followed = store;
                follower = revision(now);
                continue;
            }
            for (const store_item &each : seen->items)
                followed[each.key] = each.modRevision.value();
            follower = seen->currentRevision;
            RC_ASSERT(followed == store);
        }
    });
}

TEST_CASE("a batch is read as it was written, and other bytes are refused")
{
    CHECK_PROPERTY(
        "batch", [](const std::vector<std::string> &values, std::uint64_t currentRevision) {
            store_batch written;
            written.currentRevision = revision(currentRevision);
            for (const std::string &value : values)
                written.items.push_back({"key", value, revision(value.size()), value.empty()});
            const store_batch read = decodeBatch(encodeBatch(written));
            RC_ASSERT(read.failure == store_failure::None);
            RC_ASSERT(read.currentRevision == written.currentRevision);
            RC_ASSERT(read.items.size() == written.items.size());
            for (std::size_t i = 0; i < read.items.size(); ++i) {
                RC_ASSERT(read.items[i].value == written.items[i].value);
                RC_ASSERT(read.items[i].isDeleted == written.items[i].isDeleted);
            }
        });
    CHECK_PROPERTY("bytes", [](const std::string &bytes) {
        // Any result but a crash or an exception will do.
        const store_batch read = decodeBatch(bytes);
        RC_ASSERT(read.failure == store_failure::None || read.items.empty());
    });
    CHECK(decodeBatch("short").failure == store_failure::Malformed);
}

TEST_CASE("all hosts of a data centre choose the same relay, and few need none")
{
    struct row
    {
        std::string name;
        std::size_t members;
        bool hasRelay;
    };
    const row rows[] = {{"none", 0, false}, {"a few", 3, false}, {"many", 20, true}};
    const data_centre_id riga("riga");
    for (const row &each : rows) {
        CAPTURE(each.name);
        member_entries members;
        for (std::size_t i = 0; i < each.members; ++i)
            members[fmt::format("host-{}", i)] = {riga, endpoint("10.0.0.1", 7000)};
        members["elsewhere"] = {data_centre_id("jelgava"), endpoint("10.0.0.2", 7000)};
        members["older"] = {riga, std::nullopt};
        const auto chosen = chooseRelay(members, riga);
        REQUIRE(chosen.has_value() == each.hasRelay);
        if (!chosen)
            continue;
        CHECK(members.at(*chosen).dataCentre == riga);
        // A host that leaves changes the choice only if it was the relay.
        for (const auto &[host, entry] : member_entries(members)) {
            member_entries left = members;
            left.erase(host);
            CHECK((chooseRelay(left, riga) == chosen) == (host != *chosen));
        }
    }
}

TEST_CASE("a member's entry is read as it was written, also one without an address")
{
    const data_centre_id riga("riga");
    const member_entry entries[] = {{riga, endpoint("10.0.0.1", 7000)}, {riga, std::nullopt}};
    for (const member_entry &entry : entries)
        CHECK(decodeMember(encodeMember(entry)) == entry);
    CHECK(decodeMember("riga nonsense") == member_entry{riga, std::nullopt});
}

TEST_CASE("changes come through the relay, and the store is not asked")
{
    fixture f;
    f.followed.setRelay(endpoint("127.0.0.1", relayPort));
    f.follow(10);
    f.runFor(50ms);
    CHECK(f.answers.empty());
    f.relay.noteChanges(revision(10), batch({item("a", 11)}, 11));
    f.runUntil([&] { return f.answers.size() == 1; });
    CHECK(f.answers[0].items.size() == 1);
    CHECK(f.answers[0].currentRevision == revision(11));
    // A host that is behind is told at once.
    f.follow(10);
    f.runUntil([&] { return f.answers.size() == 2; });
    CHECK(f.answers[1].items.size() == 1);
    CHECK(f.direct.watches.empty());
}

TEST_CASE("a host asks the store itself when its relay fails")
{
    struct row
    {
        std::string name;
        std::function<void(fixture &)> before;
        std::function<void(fixture &)> during;
        duration limit;
        std::size_t storeAwayCount;
    };
    const std::function<void(fixture &)> nothing = [](fixture &) {};
    const row rows[] = {
        {"it serves nobody", [](fixture &f) { f.relay.setServing(false); }, nothing, 500ms, 0},
        {"it no longer keeps the changes",
         [](fixture &f) { f.relay.noteChanges(revision(50), batch({}, 50)); }, nothing, 500ms, 0},
        {"it is frozen", [](fixture &f) { f.isFrozen = true; }, nothing, 2300ms, 0},
        {"it cannot be reached", [](fixture &f) { f.server.stopAccepting(); }, nothing, 500ms, 0},
        {"the store goes away from it", nothing,
         [](fixture &f) {
             f.relay.noteChanges(revision(10), {store_failure::Unanswered, {}, {}, false});
         },
         500ms, 1},
        {"its history is gone", nothing,
         [](fixture &f) {
             f.relay.noteChanges(revision(10), {store_failure::HistoryCompacted, {}, {}, false});
         },
         500ms, 0},
        {"it stops", nothing, [](fixture &f) { f.relay.setServing(false); }, 500ms, 0},
    };
    for (const row &each : rows) {
        CAPTURE(each.name);
        fixture f;
        f.followed.setRelay(endpoint("127.0.0.1", relayPort));
        each.before(f);
        f.follow(10);
        f.runFor(30ms);
        each.during(f);
        f.runUntil([&] { return !f.direct.watches.empty(); }, each.limit);
        CHECK(f.direct.watches.front().since == revision(10));
        // The news is late already, so the store's silence is not borne for long either.
        CHECK(f.direct.watches.front().wait <= 1500ms);
        CHECK(f.storeAwayCount == each.storeAwayCount);
        f.direct.answer(batch({item("a", 11)}, 11));
        CHECK(f.answers.size() == 1);
        // The relay is left alone for a while, and a store that answers is trusted again.
        f.follow(11);
        REQUIRE_FALSE(f.direct.watches.empty());
        CHECK(f.direct.watches.front().wait == 5500ms);
    }
}
