// Guards against hosts that use a target beyond the drain time after its entry was removed, as
// watches that are cut, or other calls that fail, count as outages of the store in which the entry
// may have expired; and against hosts that drop a target whose entry did expire in an outage.

#include "limited_link.h"
#include "single_host_fixture.h"

using namespace mustardcourse;
using namespace std::chrono_literals;
using tests::single_host_fixture;

namespace {

using standins::store_mode;

/** Time after the removal of a target's entry from which no request may reach it. */
constexpr duration drainTime = 3s;
/** Time after the end of an outage within which a living target has written its entry again. */
constexpr duration entryReturnTime = 1900ms;

constexpr auto requestBytes =
    "GET /idempotent/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id\r\nX-Time-Budget-Ms: 1000\r\n\r\n";

/** A host with one target, which is called without pause. */
class fixture : public single_host_fixture
{
public:
    fixture() { startHostWithRoutesOfAllTypes(); }

    /** Runs an action after a time from now. */
    void after(duration delay, std::function<void(fixture &)> action)
    {
        m_timers.push_back(std::make_unique<net::timer>(
            loop, [this, action = std::move(action)] { action(*this); }));
        m_timers.back()->start(delay);
    }

    /** Runs an action repeatedly. */
    void every(duration interval, const std::function<void(fixture &)> &action, duration runTime)
    {
        for (duration delay = interval; delay < runTime; delay += interval)
            after(delay, action);
    }

    /** Calls the target through the host for a time. Returns whether all requests were served. */
    bool call(duration runTime)
    {
        bool areAllServed = true;
        const time_point end = time.now() + runTime;
        while (time.now() < end) {
            const std::size_t arrivalsBefore = target.arrivalCount();
            const bool isServed = request(requestBytes).starts_with("HTTP/1.1 200");
            areAllServed = areAllServed && isServed;
            if (target.arrivalCount() > arrivalsBefore)
                lastArrival = time.now();
            runFor(10ms);
        }
        return areAllServed;
    }

    time_point lastArrival;

private:
    std::vector<std::unique_ptr<net::timer>> m_timers;
};

void cutWatches(fixture &f)
{
    f.store.cutWatches();
}

} // namespace

TEST_CASE("a target whose entry was removed is not used beyond the drain time although calls fail")
{
    struct row
    {
        std::string name;
        /** From the removal on. */
        void (*disturb)(fixture &);
        /** Before the removal. */
        duration calmTime;
        void (*disturbBefore)(fixture &);
    };
    const auto nothing = [](fixture &) {};
    const row rows[] = {
        {"nothing fails", nothing, 1s, nothing},
        {"two watches are cut", [](fixture &f) { f.after(1200ms, cutWatches); }, 2500ms,
         [](fixture &f) { f.after(2s, cutWatches); }},
        {"each watch is cut soon", [](fixture &f) { f.every(300ms, cutWatches, 5s); }, 1s,
         [](fixture &f) { f.every(300ms, cutWatches, 1s); }},
        {"each watch is cut late", [](fixture &f) { f.every(1700ms, cutWatches, 5s); }, 3600ms,
         [](fixture &f) { f.every(1700ms, cutWatches, 3600ms); }},
        {"a watch is cut and the read of the key fails",
         [](fixture &f) {
             f.after(2200ms, [](fixture &closed) { closed.store.closeCalls("/kv-range"); });
             f.after(2420ms, [](fixture &closed) { closed.store.closeCalls(""); });
         },
         2500ms, [](fixture &f) { f.after(2460ms, cutWatches); }},
        {"the renewal of the lease fails", nothing, 4500ms,
         [](fixture &f) { f.store.closeCalls("/kv-keep"); }},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        fixture f;
        testCase.disturbBefore(f);
        CHECK(f.call(testCase.calmTime));
        f.store.erase("servers/i-0");
        const time_point removal = f.time.now();
        testCase.disturb(f);
        f.call(drainTime + 500ms);
        const auto used =
            std::chrono::duration_cast<std::chrono::milliseconds>(f.lastArrival - removal);
        MESSAGE(testCase.name, ": used for ", used.count(), " ms");
        CHECK(used <= drainTime);
    }
}

TEST_CASE(
    "a target whose entry expired in an outage of the store is used until it is written again")
{
    struct row
    {
        std::string name;
        store_mode outage;
        /** After the outage, until the entry is written again. */
        void (*disturb)(fixture &);
        duration untilWritten;
    };
    const row rows[] = {
        {"a silent store", store_mode::Unresponsive, [](fixture &) {}, entryReturnTime},
        {"a store that refuses", store_mode::Unavailable, [](fixture &) {}, entryReturnTime},
        {"watches are cut afterwards", store_mode::Unavailable,
         [](fixture &f) { f.every(700ms, cutWatches, entryReturnTime); }, entryReturnTime},
        {"another outage soon afterwards that no watch shows", store_mode::Unavailable,
         [](fixture &f) {
             f.after(1s, [](fixture &again) { again.store.setMode(store_mode::Unavailable); });
             f.after(4s, [](fixture &again) { again.store.setMode(store_mode::Serving); });
         },
         4s + entryReturnTime},
        {"another outage soon afterwards", store_mode::Unavailable,
         [](fixture &f) {
             f.after(1s, [](fixture &again) {
                 again.store.setMode(store_mode::Unavailable);
                 again.store.cutWatches();
             });
             f.after(4s, [](fixture &again) { again.store.setMode(store_mode::Serving); });
         },
         4s + entryReturnTime},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        fixture f;
        CHECK(f.call(300ms));
        f.store.setMode(testCase.outage);
        f.after(3s, [](fixture &expired) { expired.store.erase("servers/i-0"); });
        CHECK(f.call(4s));
        f.store.setMode(store_mode::Serving);
        testCase.disturb(f);
        CHECK(f.call(testCase.untilWritten));
        f.registerTarget(single_host_fixture::local(single_host_fixture::targetPort));
        CHECK(f.call(1s));
    }
}

TEST_CASE("a large configuration that arrives slowly is read although a watch was cut")
{
    // The configuration takes 1.5 s to arrive.
    constexpr data_rate linkRate = data_rate::megabitsPerSecond(2.4);
    constexpr std::size_t furtherRoutes = 2000;
    constexpr duration activationTimeLimit = 3s;
    constexpr std::uint16_t linkPort = single_host_fixture::freePort;
    single_host_fixture f;
    standins::limited_link link(f.loop, f.time, linkRate.bytesPerSecond());
    link.forward(single_host_fixture::local(linkPort),
                 single_host_fixture::local(single_host_fixture::storePort),
                 standins::limited_link::host_side::Dialled);
    f.registerTarget(single_host_fixture::local(single_host_fixture::targetPort));
    f.writeConfiguration(1, 0);
    settings::serving_settings settings = single_host_fixture::hostSettings();
    settings.store = single_host_fixture::local(linkPort);
    f.startHost(settings);
    f.runFor(1200ms);
    f.store.cutWatches();
    f.writeConfiguration(2, furtherRoutes);
    const time_point confirmed = f.time.now();
    f.runUntil([&] { return f.activeVersion() == 2; }, 10s);
    CHECK(f.time.now() - confirmed <= activationTimeLimit);
}
