#pragma once

#include <mustardcourse/http/client_pool.h>
#include <mustardcourse/net/loop.h>

#include <functional>

namespace mustardcourse::http {

/** Receives the result of an exchange; one that timed out counts as lost. */
using result_handler = std::function<void(exchange_result &&)>;

/**
    Sends a request and calls the handler once, with the result of the exchange. A timeout closes
    the connection of the exchange.

    @param timeout  time from this call to the end of the response
*/
void sendWithTimeout(net::loop &loop, client_pool &pool, exchange_request request, duration timeout,
                     result_handler handler);

} // namespace mustardcourse::http
