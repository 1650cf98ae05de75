// Guards against responses that are not valid HTTP but are passed on to callers, because the
// library that parses them accepts more than the protocol allows.

#include "loop_fixture.h"
#include "raw_responses.h"
#include "scripted_peer.h"

#include <mustardcourse/http/reader.h>

#include <http_store.h>

#include <optional>

using namespace mustardcourse;
using namespace mustardcourse::http;

namespace {

const endpoint storeAddress("127.0.0.1", 20931);

constexpr std::size_t wholeMessage = 1'000'000;

/** Feeds a response in pieces of a size, then the end of the connection.
    @returns  the first response that is not an interim one, or nothing if it is rejected */
std::optional<response> readFinalResponse(std::string_view bytes, std::size_t pieceSize)
{
    message_reader reader(message_reader::direction::Responses, {});
    while (!bytes.empty()) {
        const std::size_t consumed = reader.feed(bytes.substr(0, pieceSize));
        bytes.remove_prefix(consumed);
        if (reader.state() == read_state::Complete) {
            response message = reader.takeResponse();
            if (message.status >= 200 || message.status < 100)
                return message;
        } else if (reader.state() != read_state::Partial && reader.state() != read_state::Empty) {
            return std::nullopt;
        }
    }
    reader.feedEndOfStream();
    if (reader.state() != read_state::Complete)
        return std::nullopt;
    return reader.takeResponse();
}

void checkRejected(const std::vector<tests::raw_response> &responses)
{
    for (const tests::raw_response &item : responses) {
        for (const std::size_t pieceSize : {std::size_t{1}, std::size_t{7}, wholeMessage}) {
            CAPTURE(item.name);
            CAPTURE(pieceSize);
            CHECK_FALSE(readFinalResponse(item.bytes, pieceSize).has_value());
        }
    }
}

/** Returns what a host reads if the store answers with some bytes. */
store::store_batch readFromStore(const std::string &bytes)
{
    tests::loop_fixture fixture;
    const tests::scripted_peer peer(fixture.loop, storeAddress, bytes, true);
    const logger log(fixture.time, "test", log_level::Error);
    serving::serving_metrics metrics;
    receive_memory memory{megabytes(20)};
    platform_adapter::http_store store(fixture.loop, fixture.time, log, metrics, memory,
                                       storeAddress);
    std::optional<store::store_batch> result;
    store.list("servers/", "", [&](store::store_batch &&batch) { result = std::move(batch); });
    fixture.runUntil([&] { return result.has_value(); });
    return *result;
}

} // namespace

TEST_CASE("a response whose status line is not valid is rejected whole and byte by byte")
{
    checkRejected(tests::responsesWithInvalidStatusLine({}));
}

TEST_CASE("a response with an invalid field line is rejected whole and byte by byte")
{
    checkRejected(tests::responsesWithInvalidField({}));
}

TEST_CASE("a response with a line that begins with a blank is rejected whole and byte by byte")
{
    checkRejected(tests::responsesWithFoldedLine({}));
}

TEST_CASE("a response with invalid chunks or trailers is rejected whole and byte by byte")
{
    checkRejected(tests::responsesWithInvalidChunks({}));
}

TEST_CASE("a response with a transfer coding other than chunked is rejected whole and byte by byte")
{
    checkRejected(tests::responsesWithOtherTransferCoding({}));
}

TEST_CASE("a response that the protocol allows is accepted whole and byte by byte")
{
    for (const tests::sound_response &item : tests::soundResponses({})) {
        for (const std::size_t pieceSize : {std::size_t{1}, std::size_t{7}, wholeMessage}) {
            CAPTURE(item.name);
            CAPTURE(pieceSize);
            const auto message = readFinalResponse(item.bytes, pieceSize);
            REQUIRE(message.has_value());
            CHECK(message->status == item.status);
            CHECK(message->reason == item.reason);
            CHECK(message->body == (item.hasBody ? "ab" : ""));
        }
    }
}

TEST_CASE("a host takes nothing from a broken response of the store")
{
    const tests::response_content content{
        "Store-Era: 1\r\n", R"({"items": [{"Key": "servers/a", "Revision": 7}], "CurrentRev": 7})"};
    const store::store_batch sound = readFromStore("HTTP/1.1 200 \r\n" + content.withLength());
    CHECK(sound.failure == store::store_failure::None);
    CHECK(sound.items.size() == 1);
    for (const tests::raw_response &item : tests::brokenResponses(content)) {
        CAPTURE(item.name);
        const store::store_batch batch = readFromStore(item.bytes);
        CHECK(batch.failure == store::store_failure::Unanswered);
        CHECK(batch.items.empty());
    }
}
