#pragma once

#include <mustardcourse/net/loop.h>

#include <doctest/doctest.h>

#include <chrono>
#include <functional>

namespace mustardcourse::tests {

/** Runs a loop in steps, for tests that use real sockets on loopback. */
class loop_fixture
{
public:
    loop_fixture()
        : m_stop(loop, [this] { loop.stop(); })
    { }

    /** Runs the loop for a time. */
    void runFor(duration length)
    {
        m_stop.start(length);
        loop.run();
    }

    /** Runs the loop until a condition holds; fails the test if it does not within the limit. */
    void runUntil(const std::function<bool()> &condition, duration limit = std::chrono::seconds(5))
    {
        constexpr std::chrono::milliseconds step{2};
        const time_point end = std::chrono::steady_clock::now() + limit;
        while (!condition()) {
            REQUIRE_MESSAGE(std::chrono::steady_clock::now() < end, "the condition did not hold");
            runFor(step);
        }
    }

    const system_clock time;
    net::loop loop;

private:
    net::timer m_stop;
};

} // namespace mustardcourse::tests
