#include <mustardcourse/net/loop.h>

#include <uv.h>

#include <csignal>
#include <list>
#include <utility>

namespace mustardcourse::net {

namespace {

/** A wait for events that is shorter than this found them waiting. libuv may measure waits with a
    resolution of a millisecond. */
constexpr std::chrono::milliseconds minimumWait{2};
/** Time after which a timer that has not expired is late. */
constexpr std::chrono::milliseconds toleratedTimerDelay{5};
/** Further delay of a timer that is late, within which the loop reads what has arrived. */
constexpr std::uint64_t lateTimerDelayMilliseconds = 1;
/** Size of one read; a complete response of a target fits. */
constexpr std::size_t readBufferSize = 64 * 1024;

struct signal_registration
{
    uv_signal_t handle{};
    std::function<void()> handler;
};

} // namespace

struct loop::implementation
{
    uv_loop_t uv{};
    std::vector<char> buffer = std::vector<char>(readBufferSize);
    std::list<signal_registration> signals;
    uv_prepare_t waitBegin{};
    /** When the latest wait for events began. */
    time_point waitBeganAt = std::chrono::steady_clock::now();
    /** Total time of all waits until then. */
    std::chrono::nanoseconds waitTimeBefore{0};
    std::uint64_t waitNumber = 0;
    /** When the wait before that ended. */
    time_point previousWaitEndedAt = waitBeganAt;
    std::function<void(duration)> turnEndHandler;

    /** Returns how long the latest wait for events took. */
    [[nodiscard]] duration waitTime()
    {
        return std::chrono::nanoseconds(uv_metrics_idle_time(&uv)) - waitTimeBefore;
    }

    void startWaitHandle()
    {
        uv_loop_configure(&uv, UV_METRICS_IDLE_TIME);
        uv_prepare_init(&uv, &waitBegin);
        waitBegin.data = this;
        uv_prepare_start(&waitBegin, [](uv_prepare_t *handle) {
            static_cast<implementation *>(handle->data)->endTurn();
        });
        uv_unref(reinterpret_cast<uv_handle_t *>(&waitBegin));
    }

    void endTurn()
    {
        const time_point now = std::chrono::steady_clock::now();
        previousWaitEndedAt = waitBeganAt + waitTime();
        if (turnEndHandler)
            turnEndHandler(now - previousWaitEndedAt);
        waitBeganAt = now;
        ++waitNumber;
        waitTimeBefore = std::chrono::nanoseconds(uv_metrics_idle_time(&uv));
    }
};

loop::loop()
    : m_implementation(std::make_unique<implementation>())
{
    std::signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&m_implementation->uv);
    m_implementation->startWaitHandle();
}

loop::~loop()
{
    for (signal_registration &registration : m_implementation->signals)
        uv_close(reinterpret_cast<uv_handle_t *>(&registration.handle), nullptr);
    uv_close(reinterpret_cast<uv_handle_t *>(&m_implementation->waitBegin), nullptr);
    // Handles are closed in a loop iteration, so all users must have closed theirs before this one.
    uv_run(&m_implementation->uv, UV_RUN_NOWAIT);
    uv_loop_close(&m_implementation->uv);
}

void loop::run()
{
    uv_run(&m_implementation->uv, UV_RUN_DEFAULT);
}

void loop::stop()
{
    uv_stop(&m_implementation->uv);
}

void loop::onTurnEnd(std::function<void(duration)> handler)
{
    m_implementation->turnEndHandler = std::move(handler);
}

watch_begin loop::beginWatch() const noexcept
{
    // What begins a source, for example a connection, is an event that is watched already.
    return {m_implementation->waitNumber + 1, earliestEventTime({})};
}

time_point loop::earliestEventTime(const watch_begin &source) const noexcept
{
    const duration waitTime = m_implementation->waitTime();
    if (waitTime >= minimumWait)
        return m_implementation->waitBeganAt + waitTime;
    const bool isFirstWait = source.firstWait == m_implementation->waitNumber;
    return isFirstWait ? source.earliestEvent : m_implementation->previousWaitEndedAt;
}

void loop::onSignal(int number, std::function<void()> handler)
{
    signal_registration &registration = m_implementation->signals.emplace_back();
    registration.handler = std::move(handler);
    uv_signal_init(&m_implementation->uv, &registration.handle);
    registration.handle.data = &registration;
    uv_signal_start(
        &registration.handle,
        [](uv_signal_t *handle, int) {
            static_cast<signal_registration *>(handle->data)->handler();
        },
        number);
}

uv_loop_s *loop::handle() noexcept
{
    return &m_implementation->uv;
}

std::vector<char> &loop::readBuffer() noexcept
{
    return m_implementation->buffer;
}

struct timer::implementation
{
    uv_timer_t handle{};
    time_point dueAt;
    bool hasBeenDelayed = false;
    std::function<void()> handler;

    void start(std::uint64_t delayMilliseconds)
    {
        uv_timer_start(
            &handle,
            [](uv_timer_t *expired) { static_cast<implementation *>(expired->data)->expire(); },
            delayMilliseconds, 0);
    }

    void expire()
    {
        const bool isLate = std::chrono::steady_clock::now() - dueAt > toleratedTimerDelay;
        if (isLate && !std::exchange(hasBeenDelayed, true))
            return start(lateTimerDelayMilliseconds);
        // The handler may destroy the timer and itself with it, so a copy is called.
        const auto handlerCopy = handler;
        handlerCopy();
    }
};

timer::timer(loop &loop, std::function<void()> handler)
    : m_implementation(new implementation)
{
    m_implementation->handler = std::move(handler);
    uv_timer_init(loop.handle(), &m_implementation->handle);
    m_implementation->handle.data = m_implementation;
}

timer::~timer()
{
    uv_timer_stop(&m_implementation->handle);
    uv_close(reinterpret_cast<uv_handle_t *>(&m_implementation->handle),
             [](uv_handle_t *handle) { delete static_cast<implementation *>(handle->data); });
}

void timer::start(duration delay)
{
    using std::chrono::milliseconds;
    const auto delayMilliseconds =
        std::chrono::ceil<milliseconds>(std::max(delay, duration::zero()));
    // libuv counts from its cached time, which lags behind during a long loop iteration.
    uv_update_time(m_implementation->handle.loop);
    m_implementation->dueAt = std::chrono::steady_clock::now() + delayMilliseconds;
    m_implementation->hasBeenDelayed = false;
    m_implementation->start(static_cast<std::uint64_t>(delayMilliseconds.count()));
}

void timer::stop()
{
    uv_timer_stop(&m_implementation->handle);
}

} // namespace mustardcourse::net
