// Guards against callers that get a broken response of a target for an answer, or none although the
// response is valid, for bookings as well as for lookups.

#include "raw_responses.h"
#include "single_host_fixture.h"

using namespace mustardcourse;
using namespace std::chrono_literals;
using tests::single_host_fixture;
using enum standins::target_fault;

namespace {

const std::string targetFields = "X-Attempt-Id: id\r\nX-Server-Stamp: i-0.id\r\n";

/** A host with routes of all types, and a target that responds at once. */
class fixture : public single_host_fixture
{
public:
    fixture() { startHostWithRoutesOfAllTypes(); }

    [[nodiscard]] tests::response_content targetContent() const
    {
        return {targetFields, target.body()};
    }

    /** Returns what a caller gets for a request to which the target responds with some bytes. */
    std::string respond(std::string_view route, const std::string &bytes)
    {
        target.setRawResponse(bytes);
        target.setFault(RawResponse);
        const std::string received = request(
            fmt::format("GET /{}/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id\r\n\r\n", route));
        target.setFault(None);
        return received;
    }

    void checkNotForwarded(const std::vector<tests::raw_response> &responses)
    {
        for (const std::string_view route : {"idempotent", "once", "lookup"}) {
            for (const tests::raw_response &item : responses) {
                CAPTURE(route);
                CAPTURE(item.name);
                const std::size_t runsBefore = target.runCount();
                const std::string received = respond(route, item.bytes);
                if (route == "once") {
                    // The request has run, so it must be neither repeated nor reported as refused.
                    CHECK(received.starts_with("HTTP/1.1 502"));
                    CHECK(target.runCount() == runsBefore + 1);
                } else {
                    CHECK(received.starts_with("HTTP/1.1 50"));
                }
                awaitService();
            }
        }
    }
};

} // namespace

TEST_CASE("callers get no response of a target whose status line is not valid")
{
    fixture f;
    f.checkNotForwarded(tests::responsesWithInvalidStatusLine(f.targetContent()));
}

TEST_CASE("callers get no response of a target with an invalid field line")
{
    fixture f;
    f.checkNotForwarded(tests::responsesWithInvalidField(f.targetContent()));
}

TEST_CASE("callers get no response of a target with a line that begins with a blank")
{
    fixture f;
    f.checkNotForwarded(tests::responsesWithFoldedLine(f.targetContent()));
}

TEST_CASE("callers get no response of a target with invalid chunks or trailers")
{
    fixture f;
    f.checkNotForwarded(tests::responsesWithInvalidChunks(f.targetContent()));
}

TEST_CASE("callers get no response of a target with a transfer coding other than chunked")
{
    fixture f;
    f.checkNotForwarded(tests::responsesWithOtherTransferCoding(f.targetContent()));
}

TEST_CASE("callers get the unusual responses of a target that the protocol allows")
{
    constexpr int refusals[] = {408, 421, 429, 503};
    fixture f;
    for (const tests::sound_response &item : tests::soundResponses(f.targetContent())) {
        // A refusal of a request that may have run is not forwarded.
        if (std::find(std::begin(refusals), std::end(refusals), item.status) != std::end(refusals))
            continue;
        CAPTURE(item.name);
        const std::string received = f.respond("once", item.bytes);
        CHECK(received.starts_with(fmt::format("HTTP/1.1 {} ", item.status)));
        CHECK(received.find("X-Server-Stamp: i-0.id\r\n") != std::string::npos);
        CHECK(received.ends_with("\r\n\r\n" + (item.hasBody ? f.target.body() : "")));
        if (item.status >= 500)
            f.awaitService();
    }
}
