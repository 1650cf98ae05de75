#include <mustardcourse/platform/store_client.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardcourse::platform {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;

json parseResponseBody(const wire::exchange_result &result)
{
    const bool isSuccess =
        result.outcome == wire::exchange_outcome::Answered && result.response.status == statusOk;
    if (!isSuccess)
        return json::value_t::discarded;
    return json::parse(result.response.body, nullptr, false);
}

stored_value parseValue(const json &entry)
{
    return {entry.value("key", ""), entry.value("value", ""),
            revision(entry.value("revision", std::uint64_t{0}))};
}

watch_result parseWatchResult(const wire::exchange_result &result)
{
    const json body = parseResponseBody(result);
    if (!body.is_object())
        return {};
    watch_result watchResult;
    watchResult.outcome = read_outcome::Answered;
    watchResult.nextRevision = revision(body.value("revision", std::uint64_t{0}));
    for (const json &entry : body.value("changes", json::array()))
        watchResult.changes.push_back(parseValue(entry));
    return watchResult;
}

swap_result parseSwapResult(const wire::exchange_result &result)
{
    swap_result swapResult;
    if (result.outcome == wire::exchange_outcome::NotSent)
        return swapResult;
    const json body = parseResponseBody(result);
    if (!body.is_object()) {
        swapResult.outcome = swap_outcome::Lost;
        return swapResult;
    }
    swapResult.storeRevision = revision(body.value("revision", std::uint64_t{0}));
    swapResult.outcome =
        body.value("swapped", false) ? swap_outcome::Swapped : swap_outcome::Conflict;
    if (swapResult.outcome == swap_outcome::Conflict)
        swapResult.current = parseValue(body);
    return swapResult;
}

} // namespace

store_client::store_client(wire::event_loop &loop, endpoint store, duration timeout)
    : m_loop(loop)
    , m_store(std::move(store))
    , m_timeout(timeout)
{ }

wire::http_connection &store_client::idleConnection()
{
    for (const auto &connection : m_connections) {
        if (!connection->isBusy())
            return *connection;
    }
    m_connections.push_back(std::make_unique<wire::http_connection>(m_loop, m_store));
    return *m_connections.back();
}

kj::Promise<wire::exchange_result> store_client::send(wire::outgoing_request request)
{
    ++m_callCount;
    return idleConnection().exchange(std::move(request));
}

kj::Promise<read_result> store_client::read(const std::string &key)
{
    wire::outgoing_request request;
    request.path = "/v1/key?key=" + wire::escapeUri(key);
    request.timeout = m_timeout;
    return send(std::move(request)).then([key](wire::exchange_result &&result) -> read_result {
        const json body = parseResponseBody(result);
        if (!body.is_object())
            return {};
        return {read_outcome::Answered, parseValue(body)};
    });
}

kj::Promise<watch_result> store_client::list(const std::string &prefix)
{
    wire::outgoing_request request;
    request.path = "/v1/keys?prefix=" + wire::escapeUri(prefix);
    request.timeout = m_timeout;
    return send(std::move(request)).then([](wire::exchange_result &&result) {
        return parseWatchResult(result);
    });
}

kj::Promise<swap_result> store_client::compareAndSwap(std::string key, revision expected,
                                                      std::string value)
{
    wire::outgoing_request request;
    request.path = "/v1/swap";
    request.body =
        json{{"key", std::move(key)}, {"expected", expected.value()}, {"value", std::move(value)}}
            .dump();
    request.timeout = m_timeout;
    return send(std::move(request)).then([](wire::exchange_result &&result) {
        return parseSwapResult(result);
    });
}

kj::Promise<watch_result> store_client::watch(const std::string &prefix, revision after,
                                              duration maximumWait)
{
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(maximumWait).count();
    wire::outgoing_request request;
    request.path = fmt::format("/v1/watch?prefix={}&after={}&wait_ms={}", wire::escapeUri(prefix),
                               after.value(), milliseconds);
    request.timeout = m_timeout + maximumWait;
    return send(std::move(request)).then([](wire::exchange_result &&result) {
        return parseWatchResult(result);
    });
}

} // namespace mustardcourse::platform
