#pragma once

#include <mustardcourse/net/loop.h>

#include <doctest/doctest.h>

#include <chrono>
#include <functional>

namespace mustardcourse::tests {

/** Runs an event loop in steps, for tests that use real loopback sockets. */
class loop_fixture
{
public:
    loop_fixture()
        : m_stopTimer(loop, [this] { loop.stop(); })
    { }

    /** Runs the loop for a duration. */
    void runFor(duration runTime)
    {
        m_stopTimer.start(runTime);
        loop.run();
    }

    /** Runs the loop until a condition is true; fails the test after the time limit. */
    void runUntil(const std::function<bool()> &condition,
                  duration timeLimit = std::chrono::seconds(5))
    {
        constexpr std::chrono::milliseconds step{2};
        const time_point end = std::chrono::steady_clock::now() + timeLimit;
        while (!condition()) {
            REQUIRE_MESSAGE(std::chrono::steady_clock::now() < end,
                            "the condition did not become true in time");
            runFor(step);
        }
    }

    const system_clock time;
    net::loop loop;

private:
    net::timer m_stopTimer;
};

} // namespace mustardcourse::tests
