#include <mustardcourse/http/timed_exchange.h>

namespace mustardcourse::http {

namespace {

/** A pending exchange, which ends with its response or its timeout, whichever comes first. */
struct timed_exchange
{
    result_handler handler;
    exchange_id exchange = 0;
    std::optional<net::timer> timer;
};

} // namespace

void sendWithTimeout(net::loop &loop, client_pool &pool, exchange_request request, duration timeout,
                     result_handler handler)
{
    // The request's handler owns the pending exchange; the timer, a member of it, refers to it
    // weakly.
    auto pending = std::make_shared<timed_exchange>();
    std::weak_ptr<timed_exchange> weakExchange = pending;
    pending->timer.emplace(loop, [&pool, weakExchange] {
        const auto expired = weakExchange.lock();
        if (!expired)
            return;
        pool.cancel(expired->exchange);
        exchange_result result;
        result.end = exchange_end::Lost;
        expired->handler(std::move(result));
    });
    pending->handler = std::move(handler);
    request.onEnd = [pending](exchange_result &&result) {
        pending->timer->stop();
        pending->handler(std::move(result));
    };
    pending->exchange = pool.send(std::move(request));
    pending->timer->start(timeout);
}

} // namespace mustardcourse::http
