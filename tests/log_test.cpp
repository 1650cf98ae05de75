// Guards against a host that stops serving while nobody reads its log.

#include <mustardcourse/core/log.h>

#include <doctest/doctest.h>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <climits>
#include <cstdio>
#include <sstream>
#include <thread>

using namespace mustardcourse;
using namespace std::chrono_literals;

namespace {

/** A pipe that nobody reads until it is asked to. */
class unread_pipe
{
public:
    unread_pipe() { REQUIRE(::pipe2(m_ends.data(), O_CLOEXEC) == 0); }
    ~unread_pipe()
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }
    unread_pipe(const unread_pipe &) = delete;
    unread_pipe &operator=(const unread_pipe &) = delete;

    [[nodiscard]] int input() const noexcept { return m_ends[1]; }

    /** Returns what the pipe holds. */
    [[nodiscard]] std::string readAll() const
    {
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        std::string all;
        std::array<char, 4096> bytes{};
        ssize_t count = 0;
        while ((count = ::read(m_ends[0], bytes.data(), bytes.size())) > 0)
            all.append(bytes.data(), static_cast<std::size_t>(count));
        return all;
    }

private:
    std::array<int, 2> m_ends{-1, -1};
};

} // namespace

TEST_CASE("log lines of any length are written whole or dropped while nobody reads them")
{
    struct row
    {
        std::string name;
        std::size_t valueBytes;
        char character;
        bool hasNeighbours;
        std::string expected;
    };
    const row rows[] = {
        {"short", 20, 'x', false, "a=xxxxxxxxxxxxxxxxxxxx"},
        {"longer than a page", 11'000, 'x', false, "... last=1"},
        {"longer than a page with its quotes", 11'000, '"', false, "last=1 incomplete=yes"},
        {"longer than a page with its neighbours", 1500, 'x', true, "last=1 incomplete=yes"},
    };
    constexpr int lineCount = 3000;
    for (const row &item : rows) {
        CAPTURE(item.name);
        const unread_pipe output;
        const system_clock time;
        const logger log(time, "host-1", log_level::Info, output.input());
        const std::string value(item.valueBytes, item.character);
        // Ends a write that blocks, so that the test fails instead of hanging.
        std::atomic<bool> hasEnded = false;
        std::thread rescuer([&] {
            for (int i = 0; i < 200 && !hasEnded; ++i)
                std::this_thread::sleep_for(10ms);
            while (!hasEnded)
                static_cast<void>(output.readAll());
        });
        const time_point begin = time.now();
        for (int i = 0; i < lineCount; ++i) {
            if (item.hasNeighbours)
                log.info("event", {{"a", value}, {"b", value}, {"c", value}, {"last", 1}});
            else
                log.info("event", {{"a", value}, {"last", 1}});
        }
        const duration elapsed = time.now() - begin;
        hasEnded = true;
        rescuer.join();
        CHECK(elapsed < 1s);
        CHECK(log.droppedCount() > 0);
        std::istringstream lines(output.readAll());
        std::uint64_t received = 0;
        for (std::string line; std::getline(lines, line); ++received) {
            CHECK(line.size() < PIPE_BUF);
            CHECK(line.find(" host=host-1 event=event ") != std::string::npos);
            CHECK(line.find(item.expected) != std::string::npos);
        }
        CHECK(received + log.droppedCount() == lineCount);
    }
}

TEST_CASE("an output that several processes share fails writes instead of blocking them")
{
    struct row
    {
        std::string name;
        bool isNonBlocking;
    };
    const unread_pipe pipe;
    std::array<int, 2> sockets{};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
    std::FILE *file = std::tmpfile();
    const std::array<std::pair<row, int>, 3> rows{{
        {{"a pipe", true}, pipe.input()},
        {{"a socket", true}, sockets[0]},
        {{"a file", false}, ::fileno(file)},
    }};
    for (const auto &[item, descriptor] : rows) {
        CAPTURE(item.name);
        logger::makeNonBlocking(descriptor);
        CHECK(((::fcntl(descriptor, F_GETFL) & O_NONBLOCK) != 0) == item.isNonBlocking);
    }
    ::close(sockets[0]);
    ::close(sockets[1]);
    std::fclose(file);
}
