#include "property.h"

#include <mustardcourse/http/reader.h>

using namespace mustardcourse::http;

namespace {

using direction = message_reader::direction;

/** Feeds a text in pieces of the given size and returns the state of the reader after it. */
read_state feedPieces(message_reader &reader, std::string_view text, std::size_t pieceSize)
{
    while (!text.empty() && reader.state() != read_state::Complete) {
        const std::string_view piece = text.substr(0, pieceSize);
        const std::size_t consumed = reader.feed(piece);
        if (consumed < piece.size())
            break;
        text.remove_prefix(consumed);
    }
    return reader.state();
}

} // namespace

TEST_CASE("the reader accepts complete requests and rejects ambiguous ones")
{
    struct row
    {
        std::string name;
        std::string text;
        read_state expected;
        std::string body;
    };
    const row rows[] = {
        {"no body", "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n", read_state::Complete, ""},
        {"length", "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
         read_state::Complete, "abc"},
        {"chunks",
         "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
         "chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
         read_state::Complete, "abc"},
        {"length and chunks",
         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: "
         "chunked\r\n\r\n0\r\n\r\n",
         read_state::Malformed, ""},
        {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
         read_state::Malformed, ""},
        {"space before the colon", "GET / HTTP/1.1\r\nHost : h\r\n\r\n", read_state::Malformed, ""},
        {"control character in a value", "GET / HTTP/1.1\r\nA: x\x01y\r\n\r\n",
         read_state::Malformed, ""},
        {"not HTTP", "hello\r\n\r\n", read_state::Malformed, ""},
        {"unfinished", "GET / HTTP/1.1\r\nHost:", read_state::Partial, ""},
        {"header too large", "GET / HTTP/1.1\r\nA: " + std::string(600, 'x') + "\r\n\r\n",
         read_state::HeaderTooLarge, ""},
        {"body too large", "POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n",
         read_state::BodyTooLarge, ""},
        {"chunks too large",
         "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2000, 'x'),
         read_state::BodyTooLarge, ""},
    };
    for (const row &item : rows) {
        for (const std::size_t pieceSize : {std::size_t{1}, std::size_t{7}, std::size_t{4096}}) {
            CAPTURE(item.name);
            CAPTURE(pieceSize);
            message_reader reader(direction::Requests, {512, 1000});
            CHECK(feedPieces(reader, item.text, pieceSize) == item.expected);
            if (item.expected == read_state::Complete)
                CHECK(reader.takeRequest().body == item.body);
        }
    }
}

TEST_CASE("the reader completes responses by length or last chunk or close and reports which")
{
    struct row
    {
        std::string name;
        std::string text;
        bool isStreamEnded;
        read_state expected;
        bool isDelimitedByClose;
        bool isKeepAlive;
    };
    const row rows[] = {
        {"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false, read_state::Complete,
         false, true},
        {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
         false, read_state::Complete, false, true},
        {"close", "HTTP/1.1 200 OK\r\n\r\nab", true, read_state::Complete, true, false},
        {"not closed yet", "HTTP/1.1 200 OK\r\n\r\nab", false, read_state::Partial, false, false},
        {"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", true, read_state::Malformed,
         false, false},
        {"truncated chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", true,
         read_state::Malformed, false, false},
        {"announces the close",
         "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab", false,
         read_state::Complete, false, false},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        message_reader reader(direction::Responses, {});
        reader.feed(item.text);
        if (item.isStreamEnded)
            reader.feedEndOfStream();
        REQUIRE(reader.state() == item.expected);
        if (item.expected != read_state::Complete)
            continue;
        const response message = reader.takeResponse();
        CHECK(message.body == "ab");
        CHECK(message.isDelimitedByClose == item.isDelimitedByClose);
        CHECK(message.isKeepAlive == item.isKeepAlive);
    }
}

TEST_CASE("bytes after a message are left for the next message")
{
    message_reader reader(direction::Requests, {});
    const std::string firstRequest = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string bothRequests = firstRequest + "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
    CHECK(reader.feed(bothRequests) == firstRequest.size());
    CHECK(reader.takeRequest().target == "/1");
    reader.feed(std::string_view(bothRequests).substr(firstRequest.size()));
    REQUIRE(reader.state() == read_state::Complete);
    CHECK(reader.takeRequest().target == "/2");
}

TEST_CASE("a response to HEAD has no body even if it has a Content-Length")
{
    message_reader reader(direction::Responses, {});
    reader.expectBody(false);
    reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n");
    CHECK(reader.state() == read_state::Complete);
}

TEST_CASE("for any input the reader consumes at most its input and keeps to its limits")
{
    CHECK_PROPERTY("reader", [](const std::string &bytes, bool isRequest) {
        message_reader reader(isRequest ? direction::Requests : direction::Responses, {64, 64});
        const std::string start = isRequest ? "POST / HTTP/1.1\r\n" : "HTTP/1.1 200 OK\r\n";
        reader.feed(start);
        const std::size_t consumed = reader.feed(bytes);
        RC_ASSERT(consumed <= bytes.size());
        if (reader.state() == read_state::Complete && isRequest)
            RC_ASSERT(reader.takeRequest().body.size() <= 64U);
    });
}

TEST_CASE("hop-by-hop header fields are not forwarded")
{
    const header_fields fields{{"Host", "h"},           {"Connection", "close, X-Private"},
                               {"X-Private", "1"},      {"Keep-Alive", "timeout=5"},
                               {"X-Kept", "2"},         {"Transfer-Encoding", "chunked"},
                               {"Content-Length", "3"}, {"Expect", "100-continue"}};
    std::string text;
    appendForwardableHeaders(text, fields);
    CHECK(text == "Host: h\r\nX-Kept: 2\r\n");
}
