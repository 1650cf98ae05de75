#include <mustardcourse/http/timed_exchange.h>

namespace mustardcourse::http {

namespace {

/** One exchange under way, which ends with its response or its timer, whichever is first. */
struct timed_exchange
{
    response_handler handler;
    exchange_id exchange = 0;
    std::optional<net::timer> timer;
};

} // namespace

void sendWithTimeout(net::loop &loop, client_pool &pool, exchange_request request, duration timeout,
                     response_handler handler)
{
    // The request holds the exchange, and the timer ends the request.
    auto pending = std::make_shared<timed_exchange>();
    std::weak_ptr<timed_exchange> watched = pending;
    pending->timer.emplace(loop, [&pool, watched] {
        const auto late = watched.lock();
        if (!late)
            return;
        pool.cancel(late->exchange);
        late->handler(std::nullopt);
    });
    pending->handler = std::move(handler);
    request.onEnd = [pending](exchange_result &&result) {
        pending->timer->stop();
        if (result.end == exchange_end::Answered)
            return pending->handler(std::move(result.answer));
        pending->handler(std::nullopt);
    };
    pending->exchange = pool.send(std::move(request));
    pending->timer->start(timeout);
}

} // namespace mustardcourse::http
