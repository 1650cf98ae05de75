#pragma once

#include <mustardcourse/http/client_pool.h>
#include <mustardcourse/net/loop.h>

#include <functional>
#include <optional>

namespace mustardcourse::http {

/** Receives the response, or nothing if the exchange failed or timed out. */
using response_handler = std::function<void(std::optional<response> &&)>;

/**
    Sends a request and calls the handler once: with the response, or with nothing if the exchange
    failed or timed out. A timeout closes the connection of the exchange.

    @param timeout  time from this call to the end of the response
*/
void sendWithTimeout(net::loop &loop, client_pool &pool, exchange_request request, duration timeout,
                     response_handler handler);

} // namespace mustardcourse::http
