#pragma once

#include <mustardcourse/http/client_pool.h>
#include <mustardcourse/net/loop.h>

#include <functional>
#include <optional>

namespace mustardcourse::http {

/** Is told of the response, or of nothing if there was none within the time. */
using response_handler = std::function<void(std::optional<response> &&)>;

/**
    Sends a request and tells its end once: with the response, or without one when the exchange
    failed or took too long. The connection of an exchange that took too long is closed.

    @param timeout  from now to the end of the response
*/
void sendWithTimeout(net::loop &loop, client_pool &pool, exchange_request request, duration timeout,
                     response_handler handler);

} // namespace mustardcourse::http
