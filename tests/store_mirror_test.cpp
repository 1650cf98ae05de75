#include "loop_fixture.h"

#include <mustardcourse/store/store_mirror.h>

#include <deque>

using namespace mustardcourse;
using namespace mustardcourse::store;
using namespace std::chrono_literals;

namespace {

store_position at(std::uint64_t number, std::uint64_t era = 1)
{
    return {store_era(era), revision(number)};
}

/** A store whose calls are answered explicitly, in order. */
struct scripted_store
{
    void list(std::string_view prefix, std::string_view, batch_handler handler)
    {
        // Only a mirror that asks whether the store serves lists a single key.
        if (prefix.size() > 2 && isConfirming)
            return handler({store_failure::None, {}, at(10), false});
        lists.emplace_back(std::string(prefix), std::move(handler));
    }
    void watch(std::string_view, const store_position &since, duration wait, batch_handler handler)
    {
        latestWait = wait;
        watches.emplace_back(since, std::move(handler));
    }

    /** Answers the oldest list call. */
    void answerList(std::vector<store_item> items, std::uint64_t currentRevision,
                    bool hasMore = false, std::uint64_t era = 1)
    {
        REQUIRE_FALSE(lists.empty());
        const auto handler = lists.front().second;
        lists.pop_front();
        handler({store_failure::None, std::move(items), at(currentRevision, era), hasMore});
    }

    void answerWatch(store_failure failure, std::vector<store_item> items,
                     std::uint64_t currentRevision, std::uint64_t era = 1)
    {
        REQUIRE_FALSE(watches.empty());
        const auto handler = watches.front().second;
        watches.pop_front();
        handler({failure, std::move(items), at(currentRevision, era), false});
    }

    std::deque<std::pair<std::string, batch_handler>> lists;
    std::deque<std::pair<store_position, batch_handler>> watches;
    duration latestWait{0};
    /** Whether it answers a mirror that asks whether it serves. */
    bool isConfirming = true;
};

struct recording_listener final : mirror_listener
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

store_item item(const std::string &key, const std::string &value, std::uint64_t modRevision,
                std::uint64_t era = 1)
{
    return {key, value, at(modRevision, era), false};
}

store_item deletion(const std::string &key, std::uint64_t modRevision)
{
    return {key, "", at(modRevision), true};
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
    recording_listener listener;
    store_mirror<scripted_store> mirror{loop,
                                        time,
                                        log,
                                        store,
                                        listener,
                                        {.prefixes = {"t/"},
                                         .watchedPrefix = "",
                                         .expiryGracePeriod = 120ms,
                                         .minimumOutage = 50ms,
                                         .watchDuration = 1s,
                                         .maximumCheckTime = 50ms,
                                         .watchPause = 1ms,
                                         .initialRetryDelay = 5ms,
                                         .maximumRetryDelay = 10ms}};
};

} // namespace

TEST_CASE("changes are applied and older revisions are ignored")
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
        {"a deletion", {deletion("t/a", 11)}, "removed"},
        {"a deletion and a new value", {deletion("t/a", 11), item("t/a", "3", 12)}, "3"},
        {"a key outside the mirrored prefixes", {item("u/a", "9", 11)}, "1"},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        fixture f;
        f.runFor(130ms); // The time before the first response counts as an outage.
        REQUIRE(f.listener.isComplete);
        CHECK(f.store.watches.front().first == at(10));
        f.store.answerWatch(store_failure::None, testCase.changes, 12);
        const auto found = f.listener.values.find("t/a");
        CHECK((found == f.listener.values.end() ? "removed" : found->second) == testCase.expected);
        CHECK_FALSE(f.listener.values.contains("u/a"));
        f.runUntil([&] { return !f.store.watches.empty(); });
        CHECK(f.store.watches.front().first == at(12));
    }
}

TEST_CASE("keys missing around an outage are removed only after a grace period")
{
    struct row
    {
        std::string name;
        bool hasOutage;
        bool isWrittenAgain;
        bool isRemovedAtOnce;
        bool isRemovedLater;
    };
    const row rows[] = {
        {"no outage", false, false, true, true},
        {"an outage", true, false, false, true},
        {"an outage and the key is written again", true, true, false, false},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        fixture f;
        f.runFor(130ms);
        if (testCase.hasOutage) {
            f.store.answerWatch(store_failure::Unanswered, {}, 0);
            f.runUntil([&] { return !f.store.watches.empty(); });
        }
        f.store.answerWatch(store_failure::None, {deletion("t/a", 11)}, 11);
        CHECK(f.listener.values.contains("t/a") == !testCase.isRemovedAtOnce);
        if (testCase.isWrittenAgain) {
            f.runUntil([&] { return !f.store.watches.empty(); });
            f.store.answerWatch(store_failure::None, {item("t/a", "2", 12)}, 12);
        }
        f.runFor(200ms);
        CHECK(f.listener.values.contains("t/a") == !testCase.isRemovedLater);
    }
}

TEST_CASE("a watch that is cut right after a response does not delay a removal")
{
    fixture f;
    f.runFor(130ms);
    f.store.answerWatch(store_failure::None, {}, 10);
    f.runUntil([&] { return !f.store.watches.empty(); });
    f.store.answerWatch(store_failure::Unanswered, {}, 0);
    f.runUntil([&] { return !f.store.watches.empty(); });
    f.store.answerWatch(store_failure::None, {deletion("t/a", 11)}, 11);
    CHECK_FALSE(f.listener.values.contains("t/a"));
}

TEST_CASE("calls that fail while the store serves do not postpone the removal of a missing key")
{
    struct row
    {
        std::string name;
        /** Called each 30 ms, while a watch waits. */
        void (*fail)(fixture &);
    };
    const row rows[] = {
        {"a watch is cut",
         [](fixture &f) { f.store.answerWatch(store_failure::Unanswered, {}, 0); }},
        {"another call fails", [](fixture &f) { f.mirror.recordStoreFailure(); }},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        fixture f;
        f.runFor(130ms);
        testCase.fail(f);
        f.runUntil([&] { return !f.store.watches.empty(); });
        f.store.answerWatch(store_failure::None, {deletion("t/a", 11)}, 11);
        const time_point learnedAt = f.time.now();
        CHECK(f.listener.values.contains("t/a"));
        while (f.listener.values.contains("t/a") && f.time.now() < learnedAt + 1s) {
            f.runUntil([&] { return !f.store.watches.empty(); });
            f.runFor(30ms);
            testCase.fail(f);
            f.runUntil([&] { return !f.store.watches.empty(); });
            f.store.answerWatch(store_failure::None, {}, 11);
        }
        CHECK_FALSE(f.listener.values.contains("t/a"));
        // The grace period of the fixture is 120 ms.
        CHECK(f.time.now() - learnedAt <= 200ms);
    }
}

TEST_CASE("a key that is missing when an outage begins is kept until its owner could write it")
{
    fixture f;
    f.runFor(130ms);
    f.store.answerWatch(store_failure::Unanswered, {}, 0);
    f.runUntil([&] { return !f.store.watches.empty(); });
    f.store.answerWatch(store_failure::None, {deletion("t/a", 11), deletion("t/b", 12)}, 12);
    const time_point outageEnd = f.time.now() + 300ms;
    while (f.time.now() < outageEnd) {
        f.runUntil([&] { return !f.store.watches.empty(); });
        f.store.answerWatch(store_failure::Unanswered, {}, 0);
    }
    CHECK(f.listener.values.size() == 2);
    f.runUntil([&] { return !f.store.watches.empty(); });
    f.store.answerWatch(store_failure::None, {}, 12);
    f.runFor(80ms);
    CHECK(f.listener.values.size() == 2);
    f.store.answerWatch(store_failure::None, {item("t/b", "2", 13)}, 13);
    f.runFor(80ms);
    CHECK(f.listener.values == std::map<std::string, std::string>{{"t/b", "2"}});
}

TEST_CASE("a missing key is removed only if the store serves at the end of its grace period")
{
    struct row
    {
        std::string name;
        store_failure failure;
        duration answeredAfter;
        bool isRemoved;
    };
    const row rows[] = {
        {"answered at once", store_failure::None, 0ms, true},
        {"answered late", store_failure::None, 60ms, false},
        {"refused", store_failure::Refused, 0ms, false},
        {"not answered", store_failure::Unanswered, 60ms, false},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        fixture f;
        f.runFor(130ms);
        f.store.answerWatch(store_failure::Unanswered, {}, 0);
        f.runUntil([&] { return !f.store.watches.empty(); });
        f.store.answerWatch(store_failure::None, {deletion("t/a", 11)}, 11);
        f.store.isConfirming = false;
        f.runUntil([&] { return !f.store.lists.empty(); });
        CHECK(f.listener.values.contains("t/a"));
        f.runFor(testCase.answeredAfter);
        f.store.isConfirming = true;
        const auto confirm = f.store.lists.front().second;
        f.store.lists.pop_front();
        confirm({testCase.failure, {}, at(11), false});
        CHECK(f.listener.values.contains("t/a") != testCase.isRemoved);
        f.runFor(400ms);
        CHECK_FALSE(f.listener.values.contains("t/a"));
    }
}

TEST_CASE("keys that go missing one after the other are each removed in time")
{
    fixture f;
    f.runFor(130ms);
    f.store.answerWatch(store_failure::Unanswered, {}, 0);
    f.runUntil([&] { return !f.store.watches.empty(); });
    f.store.answerWatch(store_failure::None, {deletion("t/a", 11)}, 11);
    f.runFor(80ms);
    f.store.answerWatch(store_failure::Unanswered, {}, 0);
    f.runUntil([&] { return !f.store.watches.empty(); });
    f.store.answerWatch(store_failure::None, {deletion("t/b", 12)}, 12);
    f.runFor(60ms);
    CHECK(f.listener.values == std::map<std::string, std::string>{{"t/b", "1"}});
    f.runFor(80ms);
    CHECK(f.listener.values.empty());
}

TEST_CASE("the watch after one that failed asks whether the store serves")
{
    fixture f;
    CHECK(f.store.latestWait == 1s);
    f.store.answerWatch(store_failure::Unanswered, {}, 0);
    f.runUntil([&] { return !f.store.watches.empty(); });
    CHECK(f.store.latestWait <= 1ms);
    f.store.answerWatch(store_failure::None, {}, 10);
    f.runUntil([&] { return !f.store.watches.empty(); });
    CHECK(f.store.latestWait == 1s);
}

TEST_CASE("a compacted history leads to a new listing that removes missing keys")
{
    fixture f;
    f.runFor(130ms);
    f.store.answerWatch(store_failure::HistoryCompacted, {}, 0);
    CHECK(f.listener.values.size() == 2);
    f.store.answerList({item("t/c", "1", 20)}, 20, true);
    f.store.answerList({item("t/b", "2", 21)}, 22);
    CHECK(f.listener.values == std::map<std::string, std::string>{{"t/b", "2"}, {"t/c", "1"}});
    // Pages are not one snapshot, so the watch starts at the revision of the first page.
    CHECK(f.store.watches.front().first == at(20));
}

TEST_CASE("failed calls are retried without losing mirrored keys")
{
    for (const store_failure failure :
         {store_failure::Refused, store_failure::Unanswered, store_failure::Malformed}) {
        CAPTURE(nameOf(failure));
        fixture f;
        f.store.answerWatch(failure, {}, 0);
        CHECK(f.listener.values.size() == 2);
        f.runUntil([&] { return !f.store.watches.empty(); });
        CHECK(f.store.watches.front().first == at(10));
    }
}

TEST_CASE("after a restore the mirror takes what the store holds whatever its revisions are")
{
    using values = std::map<std::string, std::string>;
    struct row
    {
        std::string name;
        void (*restore)(fixture &);
        values expectedAtOnce;
        values expectedLater;
    };
    // Before, the mirror holds t/a and t/b, and has followed revision 10 of era 1.
    const row rows[] = {
        {"lower revisions",
         [](fixture &f) {
             f.store.answerWatch(store_failure::None, {}, 4, 2);
             f.store.answerList({item("t/a", "0", 2, 2), item("t/b", "0", 3, 2)}, 4, false, 2);
         },
         {{"t/a", "0"}, {"t/b", "0"}},
         {{"t/a", "0"}, {"t/b", "0"}}},
        {"a revision that has overtaken the mirror's",
         [](fixture &f) {
             f.store.answerWatch(store_failure::None, {item("t/b", "2", 12, 2)}, 12, 2);
             f.store.answerList({item("t/a", "9", 8, 2), item("t/b", "2", 12, 2)}, 12, false, 2);
         },
         {{"t/a", "9"}, {"t/b", "2"}},
         {{"t/a", "9"}, {"t/b", "2"}}},
        {"a compacted history first",
         [](fixture &f) {
             f.store.answerWatch(store_failure::HistoryCompacted, {}, 0);
             f.store.answerList({item("t/a", "0", 2, 2), item("t/b", "0", 3, 2)}, 4, false, 2);
         },
         {{"t/a", "0"}, {"t/b", "0"}},
         {{"t/a", "0"}, {"t/b", "0"}}},
        {"a lower revision and no other era",
         [](fixture &f) {
             f.store.answerWatch(store_failure::HistoryCompacted, {}, 0);
             f.store.answerList({item("t/a", "0", 2), item("t/b", "0", 3)}, 4);
         },
         {{"t/a", "0"}, {"t/b", "0"}},
         {{"t/a", "0"}, {"t/b", "0"}}},
        {"a key that the copy lacks",
         [](fixture &f) {
             f.store.answerWatch(store_failure::None, {}, 4, 2);
             f.store.answerList({item("t/a", "0", 2, 2)}, 4, false, 2);
         },
         {{"t/a", "0"}, {"t/b", "1"}},
         {{"t/a", "0"}}},
        {"a page of the listing from each era",
         [](fixture &f) {
             f.store.answerWatch(store_failure::HistoryCompacted, {}, 0);
             f.store.answerList({item("t/a", "5", 20)}, 20, true);
             f.store.answerList({item("t/b", "0", 3, 2)}, 4, false, 2);
             f.store.answerList({item("t/a", "0", 2, 2)}, 4, true, 2);
             f.store.answerList({item("t/b", "0", 3, 2)}, 4, false, 2);
         },
         {{"t/a", "0"}, {"t/b", "0"}},
         {{"t/a", "0"}, {"t/b", "0"}}},
        {"two eras at once",
         [](fixture &f) {
             f.store.answerWatch(store_failure::None, {}, 30, 3);
             f.store.answerList({item("t/a", "0", 2, 3), item("t/b", "0", 3, 3)}, 4, false, 3);
         },
         {{"t/a", "0"}, {"t/b", "0"}},
         {{"t/a", "0"}, {"t/b", "0"}}},
        {"another call learns of the era",
         [](fixture &f) {
             f.mirror.onNewEra(store_era(2));
             f.store.answerList({item("t/a", "0", 2, 2), item("t/b", "0", 3, 2)}, 4, false, 2);
             f.store.answerWatch(store_failure::None, {item("t/a", "8", 11)}, 11);
         },
         {{"t/a", "0"}, {"t/b", "0"}},
         {{"t/a", "0"}, {"t/b", "0"}}},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        fixture f;
        f.runFor(130ms);
        testCase.restore(f);
        CHECK(f.listener.values == testCase.expectedAtOnce);
        CHECK(f.mirror.progress().restores == 1);
        CHECK(f.store.lists.empty());
        REQUIRE_FALSE(f.store.watches.empty());
        f.runFor(200ms);
        CHECK(f.listener.values == testCase.expectedLater);
    }
}

TEST_CASE("a store that lacks what it has just listed is not called in a tight loop")
{
    fixture f;
    std::size_t listings = 0;
    const time_point end = f.time.now() + 200ms;
    while (f.time.now() < end) {
        if (!f.store.watches.empty())
            f.store.answerWatch(store_failure::HistoryCompacted, {}, 0);
        if (!f.store.lists.empty()) {
            f.store.answerList({item("t/a", "1", 5)}, 10);
            ++listings;
        }
        f.runFor(1ms);
    }
    // The retry delay of the fixture is 10 ms.
    CHECK(listings <= 22);
}
