// Guards against hosts that stay on an older configuration after the store was silent, as a call
// that it took in its last silent moments is never answered.

#include "single_host_fixture.h"

using namespace mustardcourse;
using namespace std::chrono_literals;
using tests::single_host_fixture;

namespace {

/** Time after the end of an outage from which a host counts as undisturbed. */
constexpr duration contactTime = 4s;
/** Time within which the platform requires a confirmed configuration to apply. */
constexpr duration activationTimeLimit = 3s;

} // namespace

TEST_CASE("a configuration confirmed after a silent outage of the store is active in time")
{
    struct row
    {
        std::string name;
        /** Time from a change to the outage, and from the outage to its end. */
        duration before;
        duration outage;
        /** Time from the end of the outage to the confirmation. */
        duration untilConfirmed;
    };
    const row rows[] = {
        {"a watch in the last moment of a short outage", 400ms, 150ms, 100ms},
        {"a watch in the middle of a short outage", 250ms, 500ms, 100ms},
        {"a watch early in an outage", 400ms, 1000ms, 100ms},
        {"a watch in a longer outage", 250ms, 2200ms, 100ms},
        {"the outage of the day darkened", 250ms, 3300ms, 100ms},
        {"a long outage", 250ms, 6400ms, 100ms},
        {"a change some time after an outage", 250ms, 500ms, 900ms},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        single_host_fixture f;
        f.startHostWithOneRoute();
        f.runFor(2500ms);
        // After this change the host watches again in 500 ms.
        f.store.put("servers/i-other", "{}");
        f.runFor(testCase.before);
        f.store.setMode(standins::store_mode::Unresponsive);
        f.runFor(testCase.outage);
        f.store.setMode(standins::store_mode::Serving);
        const time_point outageEnd = f.time.now();
        f.runFor(testCase.untilConfirmed);
        f.writeConfiguration(2, 1);
        const time_point due =
            std::max(f.time.now() + activationTimeLimit, outageEnd + contactTime);
        f.runUntil([&] { return f.activeVersion() == 2; }, 20s);
        CHECK(f.time.now() <= due);
        MESSAGE(
            testCase.name, ": ",
            std::chrono::duration_cast<std::chrono::milliseconds>(f.time.now() - outageEnd).count(),
            " ms after the outage");
    }
}

TEST_CASE("a call that the store never answers is repeated before the host counts as undisturbed")
{
    struct row
    {
        std::string name;
        std::string path;
    };
    const row rows[] = {
        {"listing", "/kv-range"},        {"watch", "/kv-watch"},        {"lease", "/kv-lease"},
        {"write of the key", "/kv-txn"}, {"lease renewal", "/kv-keep"},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        single_host_fixture f;
        f.store.loseNextCall(testCase.path);
        f.startHostWithOneRoute();
        f.runUntil([&] { return f.store.timeUntilLostCallWasRepeated().has_value(); }, 20s);
        const duration repeatedAfter = *f.store.timeUntilLostCallWasRepeated();
        MESSAGE(testCase.name, ": repeated after ",
                std::chrono::duration_cast<std::chrono::milliseconds>(repeatedAfter).count(),
                " ms");
        CHECK(repeatedAfter <= contactTime);
    }
}
