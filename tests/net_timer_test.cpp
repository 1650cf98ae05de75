// Guards against decisions by the clock that are made before what had arrived in time is read, and
// against timers that expire before others that were due earlier.

#include "blocking_connection.h"
#include "loop_fixture.h"

#include <mustardcourse/net/stream.h>

#include <string>
#include <thread>

using namespace mustardcourse;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t port = 20921;

/** Records when data arrives in relation to a timer. */
struct event_recorder final : net::stream_handler
{
    void onData(std::string_view) override { events += "data "; }
    void onEnd(net::stream_end_reason) override { }

    std::string events;
};

} // namespace

TEST_CASE("a timer that is late expires after data that arrived before its time was read")
{
    struct row
    {
        std::string name;
        duration blockedTime;
        bool isConnectedBefore;
        std::string events;
    };
    const row rows[] = {
        {"in time", 0ms, true, "timer data "},
        {"late", 150ms, true, "data timer "},
        {"late and on a connection that was not accepted yet", 150ms, false, "data timer "},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        tests::loop_fixture f;
        event_recorder recorder;
        std::unique_ptr<net::stream> accepted;
        const net::listener listener(f.loop, endpoint("127.0.0.1", port),
                                     [&](std::unique_ptr<net::stream> stream) {
                                         accepted = std::move(stream);
                                         accepted->setHandler(recorder);
                                     });
        const tests::blocking_connection peer(port);
        if (testCase.isConnectedBefore)
            f.runUntil([&] { return accepted != nullptr; });
        net::timer timer(f.loop, [&] { recorder.events += "timer "; });
        timer.start(50ms);
        const bool isBlocked = testCase.blockedTime > 0ms;
        if (isBlocked) {
            // The data arrives before the timer is due, and the loop does not run meanwhile.
            peer.send("x");
            std::this_thread::sleep_for(testCase.blockedTime);
        }
        f.runFor(100ms);
        if (!isBlocked) {
            peer.send("x");
            f.runFor(50ms);
        }
        CHECK(recorder.events == testCase.events);
    }
}

TEST_CASE("timers expire in the order in which they are due also if the loop was blocked")
{
    struct row
    {
        std::string name;
        /** Delays of the timers a, b and so on, in milliseconds. */
        std::vector<int> delays;
        std::string order;
    };
    // The loop is blocked for 50 ms.
    const row rows[] = {
        {"all late", {10, 20, 30}, "abc"},
        {"started in another order", {30, 10, 20}, "bca"},
        {"one late and one in time", {10, 49}, "ab"},
        {"one in time and one late", {49, 10}, "ba"},
        {"one late and one due later", {10, 60}, "ab"},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        tests::loop_fixture f;
        std::string order;
        std::vector<std::unique_ptr<net::timer>> timers;
        for (const int delay : testCase.delays) {
            const char name = static_cast<char>('a' + static_cast<int>(timers.size()));
            timers.push_back(std::make_unique<net::timer>(f.loop, [&, name] { order += name; }));
            timers.back()->start(std::chrono::milliseconds(delay));
        }
        std::this_thread::sleep_for(50ms);
        f.runFor(40ms);
        CHECK(order == testCase.order);
    }
}

TEST_CASE("a late timer that is stopped or restarted or destroyed does not call its handler")
{
    struct row
    {
        std::string name;
        std::function<void(std::unique_ptr<net::timer> &)> change;
        int expirations;
    };
    const row rows[] = {
        {"left alone", [](auto &) {}, 1},
        {"stopped", [](auto &timer) { timer->stop(); }, 0},
        {"restarted with a longer delay", [](auto &timer) { timer->start(1h); }, 0},
        {"restarted", [](auto &timer) { timer->start(5ms); }, 1},
        {"destroyed", [](auto &timer) { timer.reset(); }, 0},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        tests::loop_fixture f;
        int expirations = 0;
        std::unique_ptr<net::timer> late;
        // Both are late; the first one changes the second.
        net::timer first(f.loop, [&] { testCase.change(late); });
        late = std::make_unique<net::timer>(f.loop, [&] { ++expirations; });
        first.start(5ms);
        late->start(10ms);
        std::this_thread::sleep_for(50ms);
        f.runFor(40ms);
        CHECK(expirations == testCase.expirations);
    }
}
