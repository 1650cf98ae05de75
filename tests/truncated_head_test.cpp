// Guards against answers that callers take for whole although their head was cut.

#include "single_host_fixture.h"

using namespace mustardcourse;
using namespace std::chrono_literals;
using tests::single_host_fixture;

TEST_CASE("a target that closes in the middle of the head of its answer gives callers no success")
{
    single_host_fixture f;
    f.startHostWithRoutesOfAllTypes();
    f.target.setFault(standins::target_fault::TruncatedHead);
    const std::string head = "HTTP/1.1 200 Answer\r\nX-Attempt-Id: id\r\nX-Server-Stamp: i-0.id\r\n"
                             "X-Server-Load: 1,0,2\r\nContent-Length: 64\r\n\r\n";
    for (const char *route : {"idempotent", "once", "lookup"}) {
        CAPTURE(route);
        for (std::size_t sentBytes = 0; sentBytes <= head.size(); ++sentBytes) {
            CAPTURE(sentBytes);
            f.target.setSentHeadBytes(sentBytes);
            const std::string received = f.request(fmt::format(
                "GET /{}/{} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id\r\n\r\n", route, sentBytes));
            CHECK(received.starts_with("HTTP/1.1 50"));
            // A failing target is avoided for a while.
            f.target.setFault(standins::target_fault::None);
            f.awaitService();
            f.target.setFault(standins::target_fault::TruncatedHead);
        }
    }
}
