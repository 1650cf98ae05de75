// Guards against responses that are truncated as their callers pause while they read them.

#include "blocking_connection.h"
#include "loop_fixture.h"

#include <mustardcourse/http/caller_server.h>

#include <netinet/tcp.h>

#include <array>
#include <cerrno>
#include <optional>

using namespace mustardcourse;
using namespace mustardcourse::http;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t serverPort = 20931;
/** More than the buffers of a connection hold. */
constexpr std::size_t bodyBytes = 4 * 1024 * 1024;
/** Longer than the time for which a closed connection lingers. */
constexpr duration readPause = 1500ms;

/** A caller behind a link with a small window, who reads when it is asked to. */
class slow_caller
{
public:
    slow_caller()
        : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        constexpr int windowBytes = 16 * 1024;
        constexpr int segmentBytes = 1400;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &windowBytes, sizeof(windowBytes));
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof(segmentBytes));
        const sockaddr_in address = tests::loopbackAddress(serverPort);
        const auto *genericAddress = reinterpret_cast<const sockaddr *>(&address);
        REQUIRE(::connect(m_descriptor, genericAddress, sizeof(address)) == 0);
        constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        REQUIRE(::send(m_descriptor, request.data(), request.size(), 0)
                == static_cast<ssize_t>(request.size()));
    }
    ~slow_caller() { ::close(m_descriptor); }
    slow_caller(const slow_caller &) = delete;
    slow_caller &operator=(const slow_caller &) = delete;

    /** Reads what has arrived. */
    void read()
    {
        std::array<char, 65536> buffer{};
        ssize_t count = 0;
        while ((count = ::recv(m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0)
            m_received.append(buffer.data(), static_cast<std::size_t>(count));
        if (count == 0)
            m_isClosed = true;
        else if (errno != EAGAIN)
            m_isReset = true;
    }

    /** Returns the size of the body as far as it has arrived. */
    [[nodiscard]] std::size_t receivedBodyBytes() const
    {
        const auto headEnd = m_received.find("\r\n\r\n");
        return headEnd == std::string::npos ? 0 : m_received.size() - headEnd - 4;
    }
    [[nodiscard]] bool hasEnded() const noexcept { return m_isClosed || m_isReset; }
    /** Returns whether the connection has ended with an orderly close. */
    [[nodiscard]] bool isClosed() const noexcept { return m_isClosed; }

private:
    int m_descriptor;
    std::string m_received;
    bool m_isClosed = false;
    bool m_isReset = false;
};

class slow_caller_fixture : public tests::loop_fixture
{
public:
    explicit slow_caller_fixture(bool isLengthKnown)
    {
        server.emplace(loop, time, endpoint("127.0.0.1", serverPort), [=](auto exchange) {
            reply answer;
            answer.status = 200;
            answer.isLengthKnown = isLengthKnown;
            answer.body.assign(bodyBytes, 'x');
            exchange->respond(answer);
        });
    }

    std::optional<caller_server> server;
};

} // namespace

TEST_CASE("a response arrives whole although its caller pauses while it reads")
{
    struct row
    {
        std::string name;
        bool isLengthKnown;
        void (*prepare)(caller_server &);
        void (*disturb)(caller_server &);
    };
    const auto nothing = [](caller_server &) {};
    const row rows[] = {
        {"without a length", false, nothing, nothing},
        {"the last one before a stop", true,
         [](caller_server &server) { server.closeAfterResponses(); },
         [](caller_server &server) {
             server.stopAccepting();
             server.closeIdleConnections(0ms);
         }},
        {"longer than the idle timeout", true,
         [](caller_server &server) { server.setLimits({.idleTimeout = 500ms}); }, nothing},
        {"while idle connections are closed", true, nothing,
         [](caller_server &server) { server.closeIdleConnections(0ms); }},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        slow_caller_fixture f(item.isLengthKnown);
        item.prepare(*f.server);
        slow_caller caller;
        f.runFor(100ms);
        item.disturb(*f.server);
        f.runFor(readPause);
        f.runUntil([&] {
            caller.read();
            return caller.hasEnded() || caller.receivedBodyBytes() == bodyBytes;
        });
        CHECK(caller.receivedBodyBytes() == bodyBytes);
    }
}

TEST_CASE("a response that is cut off does not look complete")
{
    slow_caller_fixture f(false);
    slow_caller caller;
    f.runFor(100ms);
    f.server.reset();
    f.runUntil([&] {
        caller.read();
        return caller.hasEnded();
    });
    CHECK(caller.receivedBodyBytes() < bodyBytes);
    CHECK_FALSE(caller.isClosed());
}
