#include "loop_fixture.h"

#include <mustardcourse/store/store_mirror.h>

#include <deque>

using namespace mustardcourse;
using namespace mustardcourse::store;
using namespace std::chrono_literals;

namespace {

/** A store whose answers a test gives one by one. */
struct scripted_store
{
    void list(std::string_view prefix, std::string_view, batch_handler handler)
    {
        lists.emplace_back(std::string(prefix), std::move(handler));
    }
    void watch(std::string_view, revision since, duration, batch_handler handler)
    {
        watches.emplace_back(since, std::move(handler));
    }

    /** Answers the oldest list call. */
    void answerList(std::vector<store_item> items, std::uint64_t currentRevision,
                    bool hasMore = false)
    {
        REQUIRE_FALSE(lists.empty());
        const auto handler = lists.front().second;
        lists.pop_front();
        handler({store_failure::None, std::move(items), revision(currentRevision), hasMore});
    }

    void answerWatch(store_failure failure, std::vector<store_item> items,
                     std::uint64_t currentRevision)
    {
        REQUIRE_FALSE(watches.empty());
        const auto handler = watches.front().second;
        watches.pop_front();
        handler({failure, std::move(items), revision(currentRevision), false});
    }

    std::deque<std::pair<std::string, batch_handler>> lists;
    std::deque<std::pair<revision, batch_handler>> watches;
};

struct recorder final : mirror_listener
{
    void onKeyUpdated(const std::string &key, const std::string &value) override
    {
        values[key] = value;
    }
    void onKeyRemoved(const std::string &key) override { values.erase(key); }
    void onInitialListingComplete() override { isComplete = true; }

    std::map<std::string, std::string> values;
    bool isComplete = false;
};

store_item item(const std::string &key, const std::string &value, std::uint64_t modRevision)
{
    return {key, value, revision(modRevision), false};
}

store_item deletion(const std::string &key, std::uint64_t modRevision)
{
    return {key, "", revision(modRevision), true};
}

struct fixture : tests::loop_fixture
{
    fixture()
    {
        mirror.start();
        store.answerList({item("t/a", "1", 5), item("t/b", "1", 6)}, 10);
    }

    logger log{time, "test", log_level::Error};
    scripted_store store;
    recorder seen;
    store_mirror<scripted_store> mirror{loop,
                                        time,
                                        log,
                                        store,
                                        seen,
                                        {.prefixes = {"t/"},
                                         .watchedPrefix = "",
                                         .lapseGrace = 120ms,
                                         .watchTime = 1s,
                                         .watchPause = 1ms,
                                         .firstRetry = 5ms,
                                         .longestRetry = 10ms}};
};

} // namespace

TEST_CASE("changes arrive, and nothing goes back to an older revision")
{
    struct row
    {
        std::string name;
        std::vector<store_item> changes;
        std::string expected;
    };
    const row rows[] = {
        {"a newer value", {item("t/a", "2", 11)}, "2"},
        {"an older value", {item("t/a", "0", 4)}, "1"},
        {"an older deletion", {deletion("t/a", 4)}, "1"},
        {"a deletion", {deletion("t/a", 11)}, "gone"},
        {"a deletion and a new value", {deletion("t/a", 11), item("t/a", "3", 12)}, "3"},
        {"a key of somebody else", {item("u/a", "9", 11)}, "1"},
    };
    for (const row &entry : rows) {
        CAPTURE(entry.name);
        fixture f;
        f.runFor(130ms); // The time before the first answer counts as an outage.
        REQUIRE(f.seen.isComplete);
        CHECK(f.store.watches.front().first == revision(10));
        f.store.answerWatch(store_failure::None, entry.changes, 12);
        const auto found = f.seen.values.find("t/a");
        CHECK((found == f.seen.values.end() ? "gone" : found->second) == entry.expected);
        CHECK_FALSE(f.seen.values.contains("u/a"));
        f.runUntil([&] { return !f.store.watches.empty(); });
        CHECK(f.store.watches.front().first == revision(12));
    }
}

TEST_CASE("keys that vanish around an outage are gone only when their owners had time to return")
{
    struct row
    {
        std::string name;
        bool isOutage;
        bool returns;
        bool isGoneAtOnce;
        bool isGoneLater;
    };
    const row rows[] = {
        {"no outage", false, false, true, true},
        {"an outage", true, false, false, true},
        {"an outage, and it returns", true, true, false, false},
    };
    for (const row &entry : rows) {
        CAPTURE(entry.name);
        fixture f;
        f.runFor(130ms);
        if (entry.isOutage) {
            f.store.answerWatch(store_failure::Unanswered, {}, 0);
            f.runUntil([&] { return !f.store.watches.empty(); });
        }
        f.store.answerWatch(store_failure::None, {deletion("t/a", 11)}, 11);
        CHECK(f.seen.values.contains("t/a") == !entry.isGoneAtOnce);
        if (entry.returns) {
            f.runUntil([&] { return !f.store.watches.empty(); });
            f.store.answerWatch(store_failure::None, {item("t/a", "2", 12)}, 12);
        }
        f.runFor(200ms);
        CHECK(f.seen.values.contains("t/a") == !entry.isGoneLater);
    }
}

TEST_CASE("a dropped history leads to a new listing, which tells what is missing")
{
    fixture f;
    f.runFor(130ms);
    f.store.answerWatch(store_failure::HistoryCompacted, {}, 0);
    CHECK(f.seen.values.size() == 2);
    f.store.answerList({item("t/c", "1", 20)}, 20, true);
    f.store.answerList({item("t/b", "2", 21)}, 22);
    CHECK(f.seen.values == std::map<std::string, std::string>{{"t/b", "2"}, {"t/c", "1"}});
    // Pages are no snapshot, so the watch goes back to the first one.
    CHECK(f.store.watches.front().first == revision(20));
}

TEST_CASE("failures are retried without losing what is known")
{
    for (const store_failure failure :
         {store_failure::Refused, store_failure::Unanswered, store_failure::Malformed}) {
        CAPTURE(nameOf(failure));
        fixture f;
        f.store.answerWatch(failure, {}, 0);
        CHECK(f.seen.values.size() == 2);
        f.runUntil([&] { return !f.store.watches.empty(); });
        CHECK(f.store.watches.front().first == revision(10));
    }
}
