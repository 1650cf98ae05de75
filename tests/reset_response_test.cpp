// Guards against callers that get a truncated response as a complete one: the response has no
// length and is reset by its sender, and the reset arrives together with the data before it.

#include "resetting_peer.h"
#include "single_host_fixture.h"

using namespace mustardcourse;
using namespace std::chrono_literals;
using tests::peer_end;
using tests::resetting_peer;
using tests::single_host_fixture;

namespace {

constexpr std::uint16_t peerPort = 20971;

/** Size of one read of the event loop. */
constexpr std::size_t readSize = 64 * 1024;

struct recording_handler final : net::stream_handler
{
    void onConnected() override { isConnected = true; }
    void onData(std::string_view data) override { receivedBytes += data.size(); }
    void onEnd(net::stream_end_reason streamEnd) override { reason = streamEnd; }

    bool isConnected = false;
    std::size_t receivedBytes = 0;
    std::optional<net::stream_end_reason> reason;
};

struct end_row
{
    std::string name;
    std::size_t bytes;
    peer_end end;
    net::stream_end_reason expected;
};

const end_row streamEnds[] = {
    {"closed without data", 0, peer_end::Close, net::stream_end_reason::PeerClosed},
    {"closed with data", 3000, peer_end::Close, net::stream_end_reason::PeerClosed},
    {"closed with as much data as one read takes", readSize, peer_end::Close,
     net::stream_end_reason::PeerClosed},
    {"closed with data of several reads", 3 * readSize + 1, peer_end::Close,
     net::stream_end_reason::PeerClosed},
    {"reset without data", 0, peer_end::Reset, net::stream_end_reason::Broken},
    {"reset with one byte", 1, peer_end::Reset, net::stream_end_reason::Broken},
    {"reset with data", 3000, peer_end::Reset, net::stream_end_reason::Broken},
    {"reset with as much data as one read takes", readSize, peer_end::Reset,
     net::stream_end_reason::Broken},
    {"reset with data of several reads", 3 * readSize + 1, peer_end::Reset,
     net::stream_end_reason::Broken},
    // All data has arrived before the orderly end, which the reset does not undo.
    {"closed and then reset", 3000, peer_end::CloseThenReset, net::stream_end_reason::PeerClosed},
};

struct stream_fixture : tests::loop_fixture
{
    stream_fixture()
        : stream(net::stream::dial(loop, {"127.0.0.1", peerPort}, handler))
    {
        runUntil([&] { return peer.tryAccept() && handler.isConnected; });
    }

    resetting_peer peer{peerPort};
    recording_handler handler;
    std::unique_ptr<net::stream> stream;
};

} // namespace

TEST_CASE("a stream tells a reset from an orderly end when data has arrived before it")
{
    for (const end_row &testCase : streamEnds) {
        CAPTURE(testCase.name);
        stream_fixture f;
        f.peer.sendAndEnd(std::string(testCase.bytes, 'b'), testCase.end);
        f.runUntil([&] { return f.handler.reason.has_value(); });
        CHECK(*f.handler.reason == testCase.expected);
        // A peer that resets drops what it has not sent yet.
        if (testCase.end != peer_end::Reset)
            CHECK(f.handler.receivedBytes == testCase.bytes);
    }
}

TEST_CASE("a stream tells a reset from an orderly end when a write has failed before it")
{
    stream_fixture f;
    f.peer.sendAndEnd(std::string(3000, 'b'), peer_end::Reset);
    // The kernel reports the reset once only, here to the write.
    f.stream->write("x");
    f.runUntil([&] { return f.handler.reason.has_value(); });
    CHECK(*f.handler.reason == net::stream_end_reason::Broken);
}

TEST_CASE("a stream tells a reset from an orderly end when a write fails in the turn that reads it")
{
    struct writing_handler final : net::stream_handler
    {
        void onData(std::string_view) override { other->write("x"); }
        void onEnd(net::stream_end_reason) override { }

        net::stream *other = nullptr;
    };
    constexpr std::uint16_t firstPort = peerPort + 1;
    stream_fixture f;
    resetting_peer first(firstPort);
    writing_handler writer;
    writer.other = f.stream.get();
    const auto firstStream = net::stream::dial(f.loop, {"127.0.0.1", firstPort}, writer);
    f.runUntil([&] { return first.tryAccept(); });
    f.runFor(10ms);
    // The loop reads in the order of arrival, so it writes before it learns of the reset.
    first.sendAndEnd("x", peer_end::Close);
    f.peer.sendAndEnd(std::string(3000, 'b'), peer_end::Reset);
    f.runUntil([&] { return f.handler.reason.has_value(); });
    CHECK(*f.handler.reason == net::stream_end_reason::Broken);
}

TEST_CASE("a response without a length is complete only if its connection ends in order")
{
    // Targets, the store and other hosts are called through such a pool.
    for (const end_row &testCase : streamEnds) {
        CAPTURE(testCase.name);
        tests::loop_fixture f;
        resetting_peer peer(peerPort);
        http::client_pool pool(f.loop, f.time, {"127.0.0.1", peerPort}, {.maximumConnections = 1});
        std::optional<http::exchange_result> result;
        pool.send({.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                   .matchesRequest = {},
                   .onEnd = [&](http::exchange_result &&ended) { result = std::move(ended); }});
        f.runUntil([&] { return peer.tryReceive(); });
        const std::string body(testCase.bytes, 'b');
        peer.sendAndEnd("HTTP/1.1 200 OK\r\n\r\n" + body, testCase.end);
        f.runUntil([&] { return result.has_value(); });
        const bool isComplete = testCase.expected == net::stream_end_reason::PeerClosed;
        CHECK(result->end
              == (isComplete ? http::exchange_end::Answered : http::exchange_end::Lost));
        CHECK(result->answer.body == (isComplete ? body : ""));
    }
}

TEST_CASE("callers get no part of a response that its target resets")
{
    struct row
    {
        std::string route;
        std::string body;
        peer_end end;
        std::string expectedStatus;
        std::string expectedBody;
    };
    const std::string records(64, 'r');
    const row rows[] = {
        {"once", records, peer_end::Reset, "502", ""},
        {"once", std::string(readSize, 'r'), peer_end::Reset, "502", ""},
        {"once", "", peer_end::Reset, "502", ""},
        {"idempotent", records, peer_end::Reset, "502", ""},
        {"lookup", records, peer_end::Reset, "502", ""},
        {"once", records, peer_end::Close, "200", records},
        {"idempotent", records, peer_end::Close, "200", records},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.route);
        CAPTURE(testCase.body.size());
        CAPTURE(testCase.end);
        single_host_fixture f;
        resetting_peer target(peerPort);
        f.startHostWithRoutesOfAllTypes(single_host_fixture::local(peerPort));
        const tests::blocking_connection caller(single_host_fixture::callerPort);
        caller.send(fmt::format("GET /{}/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id\r\n"
                                "X-Time-Budget-Ms: 2000\r\n\r\n",
                                testCase.route));
        std::string received;
        f.runUntil([&] {
            if (target.tryReceive()) {
                target.sendAndEnd("HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Server-Stamp: "
                                  "i-0.id\r\n\r\n"
                                      + testCase.body,
                                  testCase.end);
                target.closeConnection();
            }
            received += caller.receive();
            const auto headerEnd = received.find("\r\n\r\n");
            return headerEnd != std::string::npos
                && received.size() - headerEnd - 4 >= testCase.expectedBody.size();
        });
        CAPTURE(received.substr(0, 200));
        CHECK(received.starts_with("HTTP/1.1 " + testCase.expectedStatus));
        CHECK(received.ends_with("\r\n\r\n" + testCase.expectedBody));
    }
}
