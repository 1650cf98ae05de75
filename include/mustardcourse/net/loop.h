#pragma once

#include <mustardcourse/core/clock.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

struct uv_loop_s;

namespace mustardcourse::net {

/** Since when an event loop reports the events of a source. */
struct watch_begin
{
    /** Number of the first wait for events that includes the source. */
    std::uint64_t firstWait = 0;
    /** Earliest time of an event that the first wait reports. */
    time_point earliestEvent;
};

/**
    The event loop of a process in a platform deployment, based on libuv.

    Objects that use it may be used on its thread only. Callbacks must not throw.
*/
class loop
{
public:
    loop();
    ~loop();
    loop(const loop &) = delete;
    loop &operator=(const loop &) = delete;

    /** Runs until stop() is called. */
    void run();

    /** Makes run() return after the current callback. */
    void stop();

    /** Calls a handler at the end of each turn with the time since the last wait for events. Data
        that arrived during that time has not been read yet. */
    void onTurnEnd(std::function<void(duration)> handler);

    /** Returns since when events of a source are reported that is watched from now on. */
    [[nodiscard]] watch_begin beginWatch() const noexcept;

    /**
        Returns the earliest time at which the event of a source can have happened that the loop now
        reports.

        If the loop has waited for events, that is the end of the wait. Otherwise the event may have
        happened at any time since the wait before, or since the source exists.
    */
    [[nodiscard]] time_point earliestEventTime(const watch_begin &source) const noexcept;

    /** Calls a handler on each signal of this number until the loop is destroyed. */
    void onSignal(int number, std::function<void()> handler);

    /** Returns the underlying libuv loop. */
    [[nodiscard]] uv_loop_s *handle() noexcept;

    /** Returns the read buffer that all streams of this loop share, as only one reads at a time. */
    [[nodiscard]] std::vector<char> &readBuffer() noexcept;

private:
    friend class timer;
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

class late_timers;

/**
    A one-shot timer. Destroying it cancels the call of its handler.

    If the timer expires late, as the loop was busy or the process was stopped, the loop first reads
    what has arrived meanwhile: a handler that gives something up must not do so while it is there.
    Timers of one loop expire in the order in which they are due.
*/
class timer
{
public:
    timer(loop &loop, std::function<void()> handler);
    ~timer();
    timer(const timer &) = delete;
    timer &operator=(const timer &) = delete;

    /** Starts or restarts the timer; a delay of zero or less expires in the next loop iteration. */
    void start(duration delay);

    /** Stops the timer without calling its handler. */
    void stop();

private:
    friend class late_timers;
    struct implementation;
    implementation *m_implementation;
};

} // namespace mustardcourse::net
