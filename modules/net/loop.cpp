#include <mustardcourse/net/loop.h>

#include <uv.h>

#include <csignal>
#include <list>

namespace mustardcourse::net {

namespace {

/** Bytes of one read; a whole answer of a target fits. */
constexpr std::size_t readBufferBytes = 64 * 1024;

struct signal_watch
{
    uv_signal_t handle{};
    std::function<void()> handler;
};

} // namespace

struct loop::implementation
{
    uv_loop_t uv{};
    std::vector<char> buffer = std::vector<char>(readBufferBytes);
    std::list<signal_watch> signals;
};

loop::loop()
    : m_implementation(std::make_unique<implementation>())
{
    std::signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&m_implementation->uv);
}

loop::~loop()
{
    for (signal_watch &watch : m_implementation->signals)
        uv_close(reinterpret_cast<uv_handle_t *>(&watch.handle), nullptr);
    // Handles close in a turn of the loop, so all users must have closed theirs before.
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

void loop::onSignal(int number, std::function<void()> handler)
{
    signal_watch &watch = m_implementation->signals.emplace_back();
    watch.handler = std::move(handler);
    uv_signal_init(&m_implementation->uv, &watch.handle);
    watch.handle.data = &watch;
    uv_signal_start(
        &watch.handle,
        [](uv_signal_t *handle, int) { static_cast<signal_watch *>(handle->data)->handler(); },
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
    std::function<void()> handler;
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
    const auto whole = std::chrono::ceil<milliseconds>(std::max(delay, duration::zero()));
    // The library counts from its cached time, which lags behind in a long turn.
    uv_update_time(m_implementation->handle.loop);
    uv_timer_start(
        &m_implementation->handle,
        [](uv_timer_t *handle) {
            // The handler may destroy the timer, so it runs from a copy.
            const auto call = static_cast<implementation *>(handle->data)->handler;
            call();
        },
        static_cast<std::uint64_t>(whole.count()), 0);
}

void timer::stop()
{
    uv_timer_stop(&m_implementation->handle);
}

} // namespace mustardcourse::net
