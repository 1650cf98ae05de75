#pragma once

#include <chrono>

namespace mustardcourse {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using wall_time = std::chrono::system_clock::time_point;

/** Returns a length of time times a factor. */
constexpr duration scaled(duration length, double factor)
{
    return std::chrono::duration_cast<duration>(length * factor);
}

/**
    Source of the current time.

    Pass it to whatever has to know the time, so that a test can set it. @see system_clock,
    manual_clock
*/
class clock
{
public:
    virtual ~clock() = default;

    /** Returns a time that never goes back; use it for deadlines and ages. */
    [[nodiscard]] virtual time_point now() const = 0;

    /** Returns the time of day; use it only in records that people read. */
    [[nodiscard]] virtual wall_time wallNow() const = 0;
};

/** The machine's clock. */
class system_clock final : public clock
{
public:
    [[nodiscard]] time_point now() const override { return std::chrono::steady_clock::now(); }
    [[nodiscard]] wall_time wallNow() const override { return std::chrono::system_clock::now(); }
};

/** A clock that moves only when it is told to. Use it in tests. */
class manual_clock final : public clock
{
public:
    [[nodiscard]] time_point now() const override { return m_now; }
    [[nodiscard]] wall_time wallNow() const override
    {
        return wall_time(std::chrono::duration_cast<wall_time::duration>(m_now.time_since_epoch()));
    }

    /** Moves the time forward. */
    void advance(duration step) { m_now += step; }

private:
    time_point m_now{std::chrono::hours(1)};
};

} // namespace mustardcourse
