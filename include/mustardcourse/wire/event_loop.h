#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/endpoint.h>

#include <kj/async-io.h>

#include <memory>

struct lws_context;

namespace mustardcourse::wire {

/**
    Event loop of a process, shared by libwebsockets and Cap'n Proto RPC.

    The outer loop is KJ's. It observes the file descriptor of a libuv loop, on which libwebsockets
    runs, and runs an iteration of that loop whenever the descriptor is readable or a libuv timer is
    due.

    Create one per process and pass it to all servers and clients. Code that calls libwebsockets
    outside of a libwebsockets callback must call wake() afterwards.
*/
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /** Returns KJ's asynchronous I/O context, for listening, connecting and timers. */
    [[nodiscard]] kj::AsyncIoContext &io() noexcept;

    /** Returns KJ's timer. */
    [[nodiscard]] kj::Timer &timer() noexcept;

    /** Returns the libwebsockets context that runs on this loop. */
    [[nodiscard]] lws_context *lwsContext() const noexcept;

    /** Schedules an iteration of the libuv loop, so that it sees changed watchers and timers. */
    void wake();

    /** Runs the loop until the promise resolves and returns its value. */
    template <typename Value>
    Value run(kj::Promise<Value> promise)
    {
        return promise.wait(io().waitScope);
    }

    /** Keeps an object alive until libwebsockets can no longer hold a pointer to it. */
    void retire(std::shared_ptr<void> object);

    /** Converts an endpoint to a KJ address, for listening or connecting. */
    kj::Own<kj::NetworkAddress> networkAddress(const endpoint &address);

    /** Returns a promise that resolves after a duration. */
    kj::Promise<void> sleep(duration interval);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/** Converts a std::chrono duration to a KJ duration. */
inline kj::Duration toKj(duration interval)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(interval).count() * kj::NANOSECONDS;
}

} // namespace mustardcourse::wire
