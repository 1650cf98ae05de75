// Guards against responses that are not valid HTTP but are taken for answers by the client of the
// standalone deployment, which is that for targets, the store and the host list.

#include "raw_responses.h"

#include <mustardcourse/wire/http_connection.h>

#include <doctest/doctest.h>
#include <kj/async-io.h>
#include <sys/socket.h>

#include <optional>

using namespace mustardcourse;
using namespace mustardcourse::wire;
using namespace std::chrono_literals;

namespace {

const endpoint serverAddress("127.0.0.1", 20951);

constexpr std::size_t wholeMessage = 1'000'000;

/** How a server ends a connection after its response. */
enum class connection_end {
    Close,
    /** After the client has read the response. */
    Reset,
    /** Before the client can read the response. */
    ResetAtOnce,
};

/** A server that answers one request with some bytes and ends the connection. */
class raw_server
{
public:
    /** @param pieceSize  bytes that are sent at a time, with a pause between */
    raw_server(event_loop &loop, std::string response, std::size_t pieceSize, connection_end end)
        : m_loop(loop)
        , m_response(std::move(response))
        , m_pieceSize(pieceSize)
        , m_end(end)
        , m_listener(loop.networkAddress(serverAddress)->listen())
        , m_serving(serve().eagerlyEvaluate([](const kj::Exception &) {}))
    { }

private:
    kj::Promise<void> serve()
    {
        return m_listener->accept().then([this](kj::Own<kj::AsyncIoStream> &&accepted) {
            m_stream = kj::mv(accepted);
            return m_stream->tryRead(m_buffer, 1, sizeof(m_buffer))
                .then([this](std::size_t) { return sendFrom(0); })
                .then([this] { return endConnection(); });
        });
    }

    kj::Promise<void> sendFrom(std::size_t begin)
    {
        if (begin >= m_response.size())
            return kj::READY_NOW;
        const std::size_t size = std::min(m_pieceSize, m_response.size() - begin);
        return m_stream->write(m_response.data() + begin, size)
            .then([this] { return pauseAfterPiece(); })
            .then([this, begin, size] { return sendFrom(begin + size); });
    }

    kj::Promise<void> pauseAfterPiece()
    {
        if (m_end == connection_end::ResetAtOnce)
            return kj::READY_NOW;
        return m_loop.sleep(0ms);
    }

    kj::Promise<void> endConnection()
    {
        switch (m_end) {
        case connection_end::Close:
            m_stream->shutdownWrite();
            break;
        case connection_end::Reset:
            return m_loop.sleep(20ms).then([this] { resetConnection(); });
        case connection_end::ResetAtOnce:
            resetConnection();
            break;
        }
        return kj::READY_NOW;
    }

    void resetConnection()
    {
        const linger reset{1, 0};
        m_stream->setsockopt(SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        m_stream = nullptr;
    }

    event_loop &m_loop;
    std::string m_response;
    std::size_t m_pieceSize;
    connection_end m_end;
    char m_buffer[4096];
    kj::Own<kj::ConnectionReceiver> m_listener;
    kj::Own<kj::AsyncIoStream> m_stream;
    kj::Promise<void> m_serving;
};

exchange_result exchangeWith(const std::string &response, std::size_t pieceSize,
                             connection_end end = connection_end::Close)
{
    event_loop loop;
    raw_server server(loop, response, pieceSize, end);
    http_connection connection(loop, serverAddress);
    outgoing_request request;
    request.path = "/v1/execute";
    request.body = "{}";
    request.timeout = 5s;
    return loop.run(connection.exchange(std::move(request)));
}

void checkLost(const std::vector<tests::raw_response> &responses)
{
    for (const tests::raw_response &item : responses) {
        for (const std::size_t pieceSize : {std::size_t{1}, wholeMessage}) {
            CAPTURE(item.name);
            CAPTURE(pieceSize);
            const exchange_result result = exchangeWith(item.bytes, pieceSize);
            CHECK(result.outcome == exchange_outcome::Lost);
            CHECK(result.failure == exchange_failure::ConnectionClosed);
        }
    }
}

const tests::response_content content{"X-Name: b\r\n", R"({"held":[1],"run":1})"};

} // namespace

TEST_CASE("the standalone client takes no response whose status line is not valid")
{
    checkLost(tests::responsesWithInvalidStatusLine(content));
}

TEST_CASE("the standalone client takes no response with an invalid field line")
{
    checkLost(tests::responsesWithInvalidField(content));
}

TEST_CASE("the standalone client takes no response with a line that begins with a blank")
{
    checkLost(tests::responsesWithFoldedLine(content));
}

TEST_CASE("the standalone client takes no response with invalid chunks or trailers")
{
    checkLost(tests::responsesWithInvalidChunks(content));
}

TEST_CASE("the standalone client takes no response with a transfer coding other than chunked")
{
    checkLost(tests::responsesWithOtherTransferCoding(content));
}

TEST_CASE("the standalone client takes the unusual responses that the protocol allows")
{
    for (const tests::sound_response &item : tests::soundResponses(content)) {
        for (const std::size_t pieceSize : {std::size_t{1}, wholeMessage}) {
            CAPTURE(item.name);
            CAPTURE(pieceSize);
            const exchange_result result = exchangeWith(item.bytes, pieceSize);
            CHECK(result.outcome == exchange_outcome::Answered);
            CHECK(result.response.status == item.status);
            CHECK(result.response.body == (item.hasBody ? content.body : ""));
        }
    }
}

TEST_CASE("the standalone client takes a body without a length if the connection ends in order")
{
    // The last one takes several reads of libwebsockets.
    const std::string bodies[] = {"", content.body, std::string(100'000, 'b')};
    for (const std::string &body : bodies) {
        CAPTURE(body.size());
        const std::string response = "HTTP/1.1 200 OK\r\n\r\n" + body;
        const exchange_result closed = exchangeWith(response, wholeMessage);
        CHECK(closed.outcome == exchange_outcome::Answered);
        CHECK(closed.response.body == body);
        for (const connection_end end : {connection_end::Reset, connection_end::ResetAtOnce})
            CHECK(exchangeWith(response, wholeMessage, end).outcome == exchange_outcome::Lost);
    }
}
