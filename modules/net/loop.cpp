#include <mustardcourse/net/loop.h>

#include <uv.h>

#include <algorithm>
#include <csignal>
#include <deque>
#include <list>
#include <optional>
#include <utility>

namespace mustardcourse::net {

namespace {

/** A wait for events that is shorter than this found them waiting. libuv may measure waits with a
    resolution of a millisecond. */
constexpr std::chrono::milliseconds minimumWait{2};
/** Time after which a timer that has not expired is late. */
constexpr std::chrono::milliseconds toleratedTimerDelay{5};
/** Number of times that the loop reads before late timers expire; the second time, it reads from
    connections that it has accepted the first time. */
constexpr int readsBeforeLateTimers = 2;
/** Size of one read; a complete response of a target fits. */
constexpr std::size_t readBufferSize = 64 * 1024;

struct signal_registration
{
    uv_signal_t handle{};
    std::function<void()> handler;
};

} // namespace

struct timer::implementation
{
    explicit implementation(late_timers &lateTimers)
        : queue(lateTimers)
    { }

    void start(duration delay);
    void stop();
    void expire();

    late_timers &queue;
    uv_timer_t handle{};
    time_point dueAt;
    std::function<void()> handler;
};

/**
    Timers that wait until the loop has read what had arrived before they expired.

    libuv calls the timers that are due before it looks for events.
*/
class late_timers
{
public:
    explicit late_timers(uv_loop_t &uv)
    {
        uv_idle_init(&uv, &m_noWait);
        uv_check_init(&uv, &m_readEnd);
        m_readEnd.data = this;
    }

    void close()
    {
        uv_close(reinterpret_cast<uv_handle_t *>(&m_noWait), nullptr);
        uv_close(reinterpret_cast<uv_handle_t *>(&m_readEnd), nullptr);
    }

    /** Returns whether a timer has to wait: as it is late, or as others do that were due before. */
    [[nodiscard]] bool mustWait(const timer::implementation &expired) const
    {
        const duration delay = std::chrono::steady_clock::now() - expired.dueAt;
        return !m_timers.empty() || delay > toleratedTimerDelay;
    }

    void add(timer::implementation &expired)
    {
        m_timers.push_back(&expired);
        if (m_timers.size() > 1)
            return;
        m_remainingReads = readsBeforeLateTimers;
        // The loop does not wait for events while an idle handle is active.
        uv_idle_start(&m_noWait, [](uv_idle_t *) {});
        uv_check_start(&m_readEnd, [](uv_check_t *handle) {
            static_cast<late_timers *>(handle->data)->onReadEnd();
        });
    }

    void remove(timer::implementation &stopped) { std::erase(m_timers, &stopped); }

private:
    void onReadEnd()
    {
        if (--m_remainingReads > 0)
            return;
        uv_idle_stop(&m_noWait);
        uv_check_stop(&m_readEnd);
        // A handler may stop, restart or destroy any timer.
        while (!m_timers.empty()) {
            timer::implementation &next = *m_timers.front();
            m_timers.pop_front();
            const auto handlerCopy = next.handler;
            handlerCopy();
        }
    }

    uv_idle_t m_noWait{};
    uv_check_t m_readEnd{};
    std::deque<timer::implementation *> m_timers;
    int m_remainingReads = 0;
};

struct loop::implementation
{
    uv_loop_t uv{};
    std::vector<char> buffer = std::vector<char>(readBufferSize);
    std::list<signal_registration> signals;
    std::optional<late_timers> lateTimers;
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
    m_implementation->lateTimers.emplace(m_implementation->uv);
    m_implementation->startWaitHandle();
}

loop::~loop()
{
    for (signal_registration &registration : m_implementation->signals)
        uv_close(reinterpret_cast<uv_handle_t *>(&registration.handle), nullptr);
    uv_close(reinterpret_cast<uv_handle_t *>(&m_implementation->waitBegin), nullptr);
    m_implementation->lateTimers->close();
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

void timer::implementation::start(duration delay)
{
    using std::chrono::milliseconds;
    stop();
    const auto delayMilliseconds =
        std::chrono::ceil<milliseconds>(std::max(delay, duration::zero()));
    // libuv counts from its cached time, which lags behind during a long loop iteration.
    uv_update_time(handle.loop);
    dueAt = std::chrono::steady_clock::now() + delayMilliseconds;
    uv_timer_start(
        &handle,
        [](uv_timer_t *expired) { static_cast<implementation *>(expired->data)->expire(); },
        static_cast<std::uint64_t>(delayMilliseconds.count()), 0);
}

void timer::implementation::stop()
{
    uv_timer_stop(&handle);
    queue.remove(*this);
}

void timer::implementation::expire()
{
    if (queue.mustWait(*this))
        return queue.add(*this);
    // The handler may destroy the timer and itself with it, so a copy is called.
    const auto handlerCopy = handler;
    handlerCopy();
}

timer::timer(loop &loop, std::function<void()> handler)
    : m_implementation(new implementation(*loop.m_implementation->lateTimers))
{
    m_implementation->handler = std::move(handler);
    uv_timer_init(loop.handle(), &m_implementation->handle);
    m_implementation->handle.data = m_implementation;
}

timer::~timer()
{
    m_implementation->stop();
    uv_close(reinterpret_cast<uv_handle_t *>(&m_implementation->handle),
             [](uv_handle_t *handle) { delete static_cast<implementation *>(handle->data); });
}

void timer::start(duration delay)
{
    m_implementation->start(delay);
}

void timer::stop()
{
    m_implementation->stop();
}

} // namespace mustardcourse::net
