#pragma once

#include <mustardcourse/core/clock.h>

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

struct uv_loop_s;

namespace mustardcourse::net {

/**
    The one event loop of a process that serves on the platform.

    Everything that uses it runs on its thread. Callbacks must not throw.
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

    /** Calls a function on each signal of that number, for as long as the loop lives. */
    void onSignal(int number, std::function<void()> handler);

    /** Returns the library's loop. */
    [[nodiscard]] uv_loop_s *handle() noexcept;

    /** Returns the buffer into which all streams of this loop read, one at a time. */
    [[nodiscard]] std::vector<char> &readBuffer() noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/** Calls a function once after a delay. Destroying it cancels the call. */
class timer
{
public:
    timer(loop &loop, std::function<void()> handler);
    ~timer();
    timer(const timer &) = delete;
    timer &operator=(const timer &) = delete;

    /** Starts it anew; a delay that is not positive expires in the next turn of the loop. */
    void start(duration delay);

    /** Cancels the call that start() asked for. */
    void stop();

private:
    struct implementation;
    implementation *m_implementation;
};

} // namespace mustardcourse::net
