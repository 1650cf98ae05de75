// Guards against targets and stores that fill the memory of a host of the standalone deployment
// with a response without end.

#include "allocated_memory.h"
#include "endless_responses.h"

#include <mustardcourse/wire/http_connection.h>

#include <doctest/doctest.h>
#include <kj/async-io.h>

#include <algorithm>
#include <optional>

using namespace mustardcourse;
using namespace mustardcourse::wire;
using namespace std::chrono_literals;

namespace {

const endpoint serverAddress("127.0.0.1", 20951);

/** A server that answers one request with a response without end, until the connection ends. */
class endless_server
{
public:
    endless_server(event_loop &loop, const tests::endless_response &response)
        : m_begin(response.begin)
        , m_listener(loop.networkAddress(serverAddress)->listen())
        , m_serving(serve().eagerlyEvaluate([this](const kj::Exception &) { hasEnded = true; }))
    {
        constexpr std::size_t pieceBytes = std::size_t{32} * 1024;
        while (m_piece.size() < pieceBytes)
            m_piece.append(response.repeated);
    }

    bool hasEnded = false;

private:
    kj::Promise<void> serve()
    {
        return m_listener->accept().then([this](kj::Own<kj::AsyncIoStream> &&accepted) {
            m_stream = kj::mv(accepted);
            return m_stream->tryRead(m_buffer, 1, sizeof(m_buffer))
                .then([this](std::size_t) { return send(m_begin); })
                .then([this] { return sendPieces(); });
        });
    }

    kj::Promise<void> send(const std::string &bytes)
    {
        if (bytes.empty())
            return kj::READY_NOW;
        return m_stream->write(bytes.data(), bytes.size());
    }

    kj::Promise<void> sendPieces()
    {
        return send(m_piece).then([this] { return sendPieces(); });
    }

    std::string m_begin;
    std::string m_piece;
    char m_buffer[4096];
    kj::Own<kj::ConnectionReceiver> m_listener;
    kj::Own<kj::AsyncIoStream> m_stream;
    kj::Promise<void> m_serving;
};

} // namespace

TEST_CASE("the client of the standalone deployment gives up a response without end in any part")
{
    // A body of the largest size while it is copied to grow, and the buffers of the library.
    constexpr std::size_t maximumHeldBytes = std::size_t{16} * 1024 * 1024;
    for (const tests::endless_response &testCase : tests::endlessResponses()) {
        CAPTURE(testCase.name);
        event_loop loop;
        endless_server server(loop, testCase);
        http_connection connection(loop, serverAddress);
        outgoing_request request;
        request.path = "/search";
        request.timeout = 500ms;
        const std::size_t before = tests::allocatedBytes();
        std::size_t peak = before;
        std::optional<exchange_result> result;
        auto exchange = connection.exchange(std::move(request))
                            .then([&](exchange_result &&ended) { result = std::move(ended); })
                            .eagerlyEvaluate(nullptr);
        while (!result) {
            loop.run(loop.sleep(1ms));
            peak = std::max(peak, tests::allocatedBytes());
        }
        CHECK(result->outcome == exchange_outcome::Lost);
        CHECK(peak - before <= maximumHeldBytes);
        loop.run(loop.sleep(50ms));
        CHECK(server.hasEnded);
    }
}
