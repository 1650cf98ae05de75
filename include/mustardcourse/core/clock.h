#pragma once

#include <chrono>

namespace mustardcourse {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using wall_time = std::chrono::system_clock::time_point;

/** Returns a duration multiplied by a factor, truncated to the clock's resolution. */
constexpr duration scaled(duration interval, double factor)
{
    return std::chrono::duration_cast<duration>(interval * factor);
}

/**
    Source of the current time.

    Code that needs the time takes a reference to a clock, so that tests can control it.
    @see system_clock, manual_clock
*/
class clock
{
public:
    virtual ~clock() = default;

    /** Returns the monotonic time, for deadlines and ages. */
    [[nodiscard]] virtual time_point now() const = 0;

    /** Returns the calendar time, which may jump. Use it only in output for people. */
    [[nodiscard]] virtual wall_time wallNow() const = 0;
};

/** Clock of the operating system. */
class system_clock final : public clock
{
public:
    [[nodiscard]] time_point now() const override { return std::chrono::steady_clock::now(); }
    [[nodiscard]] wall_time wallNow() const override { return std::chrono::system_clock::now(); }
};

/** Clock for tests that changes only when advance() is called. */
class manual_clock final : public clock
{
public:
    [[nodiscard]] time_point now() const override { return m_now; }
    [[nodiscard]] wall_time wallNow() const override
    {
        return wall_time(std::chrono::duration_cast<wall_time::duration>(m_now.time_since_epoch()));
    }

    /** Moves the clock forward by a duration. */
    void advance(duration step) { m_now += step; }

private:
    time_point m_now{std::chrono::hours(1)};
};

} // namespace mustardcourse
