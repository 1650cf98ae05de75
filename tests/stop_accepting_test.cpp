// Guards against a planned stop that resets connections which the kernel has accepted and the host
// has not: their callers have sent requests and get no answer, although the host still runs.

#include "blocking_connection.h"
#include "loop_fixture.h"

#include <mustardcourse/http/caller_server.h>

using namespace mustardcourse;
using namespace std::chrono_literals;

TEST_CASE("a server that stops accepting answers the connections that wait to be accepted")
{
    struct row
    {
        std::size_t waiting;
        std::size_t accepted;
    };
    const row rows[] = {{0, 0}, {1, 0}, {1, 3}, {40, 0}, {40, 3}};
    constexpr std::uint16_t port = 20911;
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    for (const row &item : rows) {
        CAPTURE(item.waiting);
        CAPTURE(item.accepted);
        tests::loop_fixture f;
        std::size_t requestCount = 0;
        http::caller_server server(f.loop, f.time, endpoint("127.0.0.1", port),
                                   [&](std::unique_ptr<http::caller_exchange> exchange) {
                                       ++requestCount;
                                       exchange->respond({503, "", {}, "", true});
                                   });
        std::vector<std::unique_ptr<tests::blocking_connection>> connections;
        const auto connect = [&](std::size_t count) {
            for (std::size_t i = 0; i < count; ++i)
                connections.push_back(std::make_unique<tests::blocking_connection>(port));
        };
        connect(item.accepted);
        f.runUntil([&] { return server.connectionCount() == item.accepted; });
        connect(item.waiting);
        for (const auto &connection : connections)
            connection->send(request);
        server.closeAfterResponses();
        server.stopAccepting();
        f.runFor(100ms);
        CHECK(requestCount == connections.size());
        for (const auto &connection : connections)
            CHECK(connection->receive().starts_with("HTTP/1.1 503"));
    }
}
