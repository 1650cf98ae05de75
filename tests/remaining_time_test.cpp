// Guards against targets that are told more time than a caller has left, as the time was counted
// from a later moment than the request's arrival, or computed long before the request was sent.

#include "blocking_connection.h"
#include "single_host_fixture.h"

#include <thread>

using namespace mustardcourse;
using namespace std::chrono_literals;
using tests::single_host_fixture;

namespace {

/** Time for which an event loop is blocked or a connection is delayed. */
constexpr duration delay = 800ms;

/** A target's address where the kernel drops the opening packets of connections for a while. */
class congested_listener
{
public:
    explicit congested_listener(std::uint16_t port)
        : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = tests::loopbackAddress(port);
        const auto *genericAddress = reinterpret_cast<const sockaddr *>(&address);
        REQUIRE(::bind(m_listener, genericAddress, sizeof(address)) == 0);
        REQUIRE(::listen(m_listener, 0) == 0);
        // With this connection the queue is full.
        m_filler = ::socket(AF_INET, SOCK_STREAM, 0);
        REQUIRE(::connect(m_filler, genericAddress, sizeof(address)) == 0);
    }
    ~congested_listener()
    {
        for (const int descriptor : {m_filler, m_listener, m_connection})
            ::close(descriptor);
    }
    congested_listener(const congested_listener &) = delete;
    congested_listener &operator=(const congested_listener &) = delete;

    /** Makes room in the queue, so that a repeated opening packet is accepted. */
    void relieve() const { ::close(::accept(m_listener, nullptr, nullptr)); }

    /** Returns the request that has arrived, if any. */
    std::optional<http::request> receive()
    {
        if (m_connection < 0)
            m_connection = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
        std::string buffer(4096, '\0');
        const ssize_t count = ::recv(m_connection, buffer.data(), buffer.size(), 0);
        if (count > 0)
            m_reader.feed({buffer.data(), static_cast<std::size_t>(count)});
        if (m_reader.state() != http::read_state::Complete)
            return std::nullopt;
        return m_reader.takeRequest();
    }

private:
    int m_listener;
    int m_filler = -1;
    int m_connection = -1;
    http::message_reader m_reader{http::message_reader::direction::Requests, {}};
};

} // namespace

TEST_CASE("a target is told the time that a caller has left after its connection was delayed")
{
    single_host_fixture f;
    congested_listener listener(single_host_fixture::freePort);
    f.registerTarget(single_host_fixture::local(single_host_fixture::freePort));
    f.writeConfiguration(1, 0);
    f.startHost(single_host_fixture::hostSettings());
    const tests::blocking_connection caller(single_host_fixture::callerPort);
    const time_point sentAt = f.time.now();
    caller.send(single_host_fixture::callerRequest());
    f.runFor(delay);
    listener.relieve();
    std::optional<http::request> arrived;
    f.runUntil([&] {
        arrived = listener.receive();
        return arrived.has_value();
    });
    CHECK(f.time.now() - sentAt >= delay);
    CHECK(f.excessOf(*arrived, sentAt) <= single_host_fixture::maximumExcess);
}

TEST_CASE("a target is told the time that a caller has left after the event loop was blocked")
{
    struct row
    {
        std::string name;
        /** Bytes that a caller sends before the loop is blocked. */
        std::string before;
        /** Bytes that it sends while the loop is blocked, and after that. */
        std::string during;
        std::string after;
        bool isConnectedBefore;
    };
    const std::string request = single_host_fixture::callerRequest();
    const std::string withBody = single_host_fixture::callerRequest("Content-Length: 4\r\n");
    const row rows[] = {
        {"new connection", "", request, "", false},
        {"kept connection", "", request, "", true},
        {"body after the head", "", withBody, "body", true},
        {"request in two parts", request.substr(0, 20), request.substr(20), "", true},
        {"request behind another one", "", request + request, "", true},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        single_host_fixture f;
        f.startHostWithOneRoute();
        std::optional<tests::blocking_connection> caller;
        if (testCase.isConnectedBefore) {
            caller.emplace(single_host_fixture::callerPort);
            f.runFor(50ms);
        }
        const time_point sentAt = f.time.now();
        if (!testCase.before.empty()) {
            caller->send(testCase.before);
            f.runFor(20ms);
        }
        if (!caller)
            caller.emplace(single_host_fixture::callerPort);
        caller->send(testCase.during);
        // The loop does not run meanwhile.
        std::this_thread::sleep_for(delay);
        f.runFor(5ms);
        if (!testCase.after.empty())
            caller->send(testCase.after);
        const std::size_t expectedArrivals = testCase.during == request + request ? 2 : 1;
        f.runUntil([&] { return f.target.arrivalCount() == expectedArrivals; });
        CHECK(f.excessOf(f.target.lastRequest(), sentAt) <= single_host_fixture::maximumExcess);
    }
}

TEST_CASE("a request whose deadline passes before it is read is refused and reaches no target")
{
    single_host_fixture f;
    f.startHostWithOneRoute();
    const tests::blocking_connection caller(single_host_fixture::callerPort);
    caller.send("GET /path-0/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id\r\n"
                "X-Time-Budget-Ms: 400\r\n\r\n");
    std::this_thread::sleep_for(delay);
    std::string response;
    f.runUntil([&] {
        response += caller.receive();
        return !response.empty();
    });
    CHECK(response.starts_with("HTTP/1.1 503"));
    f.runFor(50ms);
    CHECK(f.target.arrivalCount() == 0);
}
