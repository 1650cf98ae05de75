#include "loop_fixture.h"
#include "scripted_peer.h"

#include <mustardcourse/http/caller_server.h>
#include <mustardcourse/http/client_pool.h>

#include <optional>

using namespace mustardcourse;
using namespace mustardcourse::http;
using namespace std::chrono_literals;

namespace {

const endpoint address("127.0.0.1", 20931);

exchange_request makeRequest(std::optional<exchange_result> &result)
{
    exchange_request request;
    request.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    request.matchesRequest = [](const response &answer) {
        return findHeader(answer.headers, "Id").value_or("mine") == "mine";
    };
    request.onEnd = [&result](exchange_result &&exchangeResult) {
        result = std::move(exchangeResult);
    };
    return request;
}

} // namespace

TEST_CASE("an exchange reports how it ended and a connection with unexpected data is not reused")
{
    struct row
    {
        std::string name;
        std::string answer;
        bool shouldClose;
        exchange_end expected;
        bool isReused;
    };
    const std::string completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    const std::string foreignResponse =
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx";
    const row rows[] = {
        {"complete", completeResponse, false, exchange_end::Answered, true},
        {"announces the close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
         false, exchange_end::Answered, false},
        {"extra bytes after it", completeResponse + "HTTP/1.1 200 OK\r\n", false,
         exchange_end::Answered, false},
        {"response to another request first", foreignResponse + completeResponse, false,
         exchange_end::Answered, false},
        {"interim response first", "HTTP/1.1 100 Continue\r\n\r\n" + completeResponse, false,
         exchange_end::Answered, true},
        {"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", true, exchange_end::Lost,
         false},
        {"no response", "", true, exchange_end::Lost, false},
        {"not HTTP", "hello there\r\n\r\n", false, exchange_end::Lost, false},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        tests::loop_fixture fixture;
        const tests::scripted_peer peer(fixture.loop, address, item.answer, item.shouldClose);
        client_pool pool(fixture.loop, fixture.time, address, {.maximumConnections = 2});
        std::optional<exchange_result> first;
        pool.send(makeRequest(first));
        fixture.runUntil([&] { return first.has_value(); });
        CHECK(first->end == item.expected);
        std::optional<exchange_result> second;
        pool.send(makeRequest(second));
        fixture.runUntil([&] { return second.has_value(); });
        CHECK(peer.acceptedCount() == (item.isReused ? 1 : 2));
    }
}

TEST_CASE("an exchange with an unreachable peer ends as not sent")
{
    tests::loop_fixture fixture;
    client_pool pool(fixture.loop, fixture.time, address, {.maximumConnections = 1});
    std::optional<exchange_result> result;
    pool.send(makeRequest(result));
    fixture.runUntil([&] { return result.has_value(); });
    CHECK(result->end == exchange_end::NotSent);
    CHECK(pool.openConnectionCount() == 0);
}

TEST_CASE("a cancelled exchange calls no handler and frees its connection")
{
    tests::loop_fixture fixture;
    const tests::scripted_peer peer(fixture.loop, address, "", false);
    client_pool pool(fixture.loop, fixture.time, address, {.maximumConnections = 1});
    std::optional<exchange_result> result;
    const exchange_id exchange = pool.send(makeRequest(result));
    fixture.runUntil([&] { return peer.acceptedCount() == 1; });
    CHECK_FALSE(pool.hasCapacity());
    pool.cancel(exchange);
    CHECK(pool.hasCapacity());
    fixture.runFor(20ms);
    CHECK_FALSE(result.has_value());
}

TEST_CASE("an idle connection that receives data is not reused")
{
    tests::loop_fixture fixture;
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    const tests::scripted_peer peer(fixture.loop, address, answer + answer, false);
    client_pool pool(fixture.loop, fixture.time, address, {.maximumConnections = 1});
    std::optional<exchange_result> result;
    pool.send(makeRequest(result));
    fixture.runUntil([&] { return result.has_value(); });
    fixture.runFor(10ms);
    CHECK(pool.openConnectionCount() == 0);
}

TEST_CASE("requests of callers are answered or rejected with the right status")
{
    struct row
    {
        std::string name;
        std::string sent;
        std::string expected;
        std::size_t handled;
    };
    const row rows[] = {
        {"one request", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200", 1},
        {"malformed", "GET /a HTTP/9.9.9\r\n\r\n", "HTTP/1.1 400", 0},
        {"request smuggling",
         "POST /a HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET "
         "/b",
         "HTTP/1.1 400", 0},
        {"header too large", "GET /a HTTP/1.1\r\nA: " + std::string(2000, 'x') + "\r\n\r\n",
         "HTTP/1.1 431", 0},
        {"body too large", "POST /a HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", "HTTP/1.1 413", 0},
        {"too slow", "GET /a HTTP/1.1\r\nHost:", "HTTP/1.1 408", 0},
        {"waits for 100 Continue",
         "POST /a HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n", "HTTP/1.1 100",
         0},
    };
    struct raw_caller final : net::stream_handler
    {
        void onData(std::string_view data) override { receivedData.append(data); }
        void onEnd(net::stream_end_reason) override { isEnded = true; }
        std::string receivedData;
        bool isEnded = false;
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        tests::loop_fixture fixture;
        std::size_t handled = 0;
        caller_server server(fixture.loop, fixture.time, address, [&](auto exchange) {
            ++handled;
            exchange->respond({200, "", {}, "ok"});
        });
        server.setLimits({.message = {1000, 1000}, .readTimeout = 60ms, .idleTimeout = 1s});
        raw_caller caller;
        const auto stream = net::stream::dial(fixture.loop, address, caller);
        stream->write(item.sent);
        fixture.runUntil([&] { return !caller.receivedData.empty(); });
        CHECK(caller.receivedData.starts_with(item.expected));
        CHECK(handled == item.handled);
    }
}

TEST_CASE(
    "a disconnect of a caller is detected at once and pipelined requests are answered in order")
{
    struct raw_caller final : net::stream_handler
    {
        void onData(std::string_view data) override { receivedData.append(data); }
        void onEnd(net::stream_end_reason) override { }
        std::string receivedData;
    };
    tests::loop_fixture fixture;
    std::unique_ptr<caller_exchange> heldExchange;
    caller_server server(fixture.loop, fixture.time, address, [&](auto exchange) {
        if (exchange->receivedRequest().target == "/held")
            heldExchange = std::move(exchange);
        else
            exchange->respond({200, "", {}, exchange->receivedRequest().target});
    });
    raw_caller caller;
    auto stream = net::stream::dial(fixture.loop, address, caller);
    stream->write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /held HTTP/1.1\r\n\r\n");
    fixture.runUntil([&] { return heldExchange != nullptr; });
    fixture.runUntil([&] { return caller.receivedData.find("/2") != std::string::npos; });
    CHECK(caller.receivedData.find("/1") < caller.receivedData.find("/2"));
    bool isDisconnectReported = false;
    heldExchange->onDisconnect([&] { isDisconnectReported = true; });
    stream.reset();
    fixture.runUntil([&] { return isDisconnectReported; });
    heldExchange->respond({200, "", {}, ""});
    CHECK(server.pendingCount() == 0);
}
