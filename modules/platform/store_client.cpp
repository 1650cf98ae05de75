#include <mustardcourse/platform/store_client.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardcourse::platform {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;

json parseBody(const wire::exchange_result &result)
{
    const bool isUsable =
        result.outcome == wire::exchange_outcome::Answered && result.response.status == statusOk;
    if (!isUsable)
        return json::value_t::discarded;
    return json::parse(result.response.body, nullptr, false);
}

stored_value valueFrom(const json &entry)
{
    return {entry.value("key", ""), entry.value("value", ""),
            revision(entry.value("revision", std::uint64_t{0}))};
}

watch_result watchFrom(const wire::exchange_result &result)
{
    const json body = parseBody(result);
    if (!body.is_object())
        return {};
    watch_result watched;
    watched.outcome = read_outcome::Answered;
    watched.nextRevision = revision(body.value("revision", std::uint64_t{0}));
    for (const json &entry : body.value("changes", json::array()))
        watched.changes.push_back(valueFrom(entry));
    return watched;
}

swap_result swapFrom(const wire::exchange_result &result)
{
    swap_result swapped;
    if (result.outcome == wire::exchange_outcome::NotSent)
        return swapped;
    const json body = parseBody(result);
    if (!body.is_object()) {
        swapped.outcome = swap_outcome::Lost;
        return swapped;
    }
    swapped.storeRevision = revision(body.value("revision", std::uint64_t{0}));
    swapped.outcome = body.value("swapped", false) ? swap_outcome::Swapped : swap_outcome::Conflict;
    if (swapped.outcome == swap_outcome::Conflict)
        swapped.current = valueFrom(body);
    return swapped;
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

kj::Promise<wire::exchange_result> store_client::call(wire::outgoing_request request)
{
    ++m_calls;
    return idleConnection().exchange(std::move(request));
}

kj::Promise<read_result> store_client::read(const std::string &key)
{
    wire::outgoing_request request;
    request.path = "/v1/key?key=" + wire::escapeUri(key);
    request.timeout = m_timeout;
    return call(std::move(request)).then([key](wire::exchange_result &&result) -> read_result {
        const json body = parseBody(result);
        if (!body.is_object())
            return {};
        return {read_outcome::Answered, valueFrom(body)};
    });
}

kj::Promise<watch_result> store_client::list(const std::string &prefix)
{
    wire::outgoing_request request;
    request.path = "/v1/keys?prefix=" + wire::escapeUri(prefix);
    request.timeout = m_timeout;
    return call(std::move(request)).then([](wire::exchange_result &&result) {
        return watchFrom(result);
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
    return call(std::move(request)).then([](wire::exchange_result &&result) {
        return swapFrom(result);
    });
}

kj::Promise<watch_result> store_client::watch(const std::string &prefix, revision after,
                                              duration wait)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    wire::outgoing_request request;
    request.path = fmt::format("/v1/watch?prefix={}&after={}&wait_ms={}", wire::escapeUri(prefix),
                               after.value(), milliseconds);
    request.timeout = m_timeout + wait;
    return call(std::move(request)).then([](wire::exchange_result &&result) {
        return watchFrom(result);
    });
}

} // namespace mustardcourse::platform
