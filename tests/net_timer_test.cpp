#include "loop_fixture.h"

#include <mustardcourse/net/stream.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

using namespace mustardcourse;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t port = 20921;

/** Records when data arrives in relation to a timer. */
struct event_recorder final : net::stream_handler
{
    void onData(std::string_view) override { events += "data "; }
    void onEnd(net::stream_end_reason) override { }

    std::string events;
};

/** A peer whose data the kernel accepts while the event loop does not run. */
class blocking_peer
{
public:
    blocking_peer()
        : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(
            ::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
            == 0);
    }
    ~blocking_peer() { ::close(m_descriptor); }
    blocking_peer(const blocking_peer &) = delete;
    blocking_peer &operator=(const blocking_peer &) = delete;

    void send() const { REQUIRE(::send(m_descriptor, "x", 1, 0) == 1); }

private:
    int m_descriptor;
};

} // namespace

TEST_CASE("a timer that is late expires after data that arrived before its time was read")
{
    struct row
    {
        std::string name;
        duration blockedTime;
        std::string events;
    };
    const row rows[] = {
        {"in time", 0ms, "timer data "},
        {"late", 150ms, "data timer "},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        tests::loop_fixture f;
        event_recorder recorder;
        std::unique_ptr<net::stream> accepted;
        const net::listener listener(f.loop, endpoint("127.0.0.1", port),
                                     [&](std::unique_ptr<net::stream> stream) {
                                         accepted = std::move(stream);
                                         accepted->setHandler(recorder);
                                     });
        const blocking_peer peer;
        f.runUntil([&] { return accepted != nullptr; });
        net::timer timer(f.loop, [&] { recorder.events += "timer "; });
        timer.start(50ms);
        const bool isBlocked = testCase.blockedTime > 0ms;
        if (isBlocked) {
            // The data arrives before the timer is due, and the loop does not run meanwhile.
            peer.send();
            std::this_thread::sleep_for(testCase.blockedTime);
        }
        f.runFor(100ms);
        if (!isBlocked) {
            peer.send();
            f.runFor(50ms);
        }
        CHECK(recorder.events == testCase.events);
    }
}
