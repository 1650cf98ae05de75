// Guards against peers that send bytes without end and fill the memory of a host together.

#include "allocated_memory.h"
#include "endless_responses.h"
#include "loop_fixture.h"
#include "property.h"
#include "single_host_fixture.h"

#include <mustardcourse/http/client_pool.h>
#include <mustardcourse/http/receive_memory.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>

using namespace mustardcourse;
using namespace mustardcourse::http;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t peerPort = 20941;
/** Memory of the smallest hosts of the users. */
constexpr memory_size smallHost = megabytes(160);

/** A peer that answers every request with some bytes and repeats others without end. */
class endless_peer
{
public:
    endless_peer(net::loop &loop, std::string begin, const std::string &repeated)
        : m_begin(std::move(begin))
        , m_listener(loop, {"127.0.0.1", peerPort}, [this, &loop](auto accepted) {
            m_connections.push_back(std::make_unique<connection>(*this, loop, std::move(accepted)));
        })
    {
        constexpr std::size_t pieceBytes = std::size_t{32} * 1024;
        while (m_piece.size() < pieceBytes)
            m_piece.append(repeated);
    }

    /** Returns the number of bytes sent on one connection at most. */
    [[nodiscard]] std::size_t mostSentBytes() const
    {
        std::size_t most = 0;
        for (const auto &peer : m_connections)
            most = std::max(most, peer->sentBytes);
        return most;
    }
    [[nodiscard]] std::size_t openCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_connections.begin(), m_connections.end(),
                          [](const auto &peer) { return !peer->hasEnded; }));
    }

private:
    struct connection final : net::stream_handler
    {
        connection(endless_peer &peer, net::loop &loop, std::unique_ptr<net::stream> accepted)
            : owner(peer)
            , stream(std::move(accepted))
            , timer(loop, [this] { sendPiece(); })
        {
            stream->setHandler(*this);
        }
        void onData(std::string_view) override
        {
            stream->write(owner.m_begin);
            sendPiece();
        }
        void onEnd(net::stream_end_reason) override
        {
            hasEnded = true;
            timer.stop();
        }
        void sendPiece()
        {
            if (stream->unsentBytes() == 0) {
                stream->write(owner.m_piece);
                sentBytes += owner.m_piece.size();
            }
            timer.start(1ms);
        }

        endless_peer &owner;
        std::unique_ptr<net::stream> stream;
        net::timer timer;
        std::size_t sentBytes = 0;
        bool hasEnded = false;
    };

    std::string m_begin;
    std::string m_piece;
    std::vector<std::unique_ptr<connection>> m_connections;
    net::listener m_listener;
};

exchange_request plainRequest(std::function<void(exchange_result &&)> onEnd)
{
    return {.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
            .matchesRequest = {},
            .onEnd = std::move(onEnd)};
}

} // namespace

TEST_CASE("messages that are read together take at most twice the limit of their memory")
{
    CHECK_PROPERTY("memory", [](const std::vector<std::uint16_t> &events) {
        constexpr std::size_t limit = 4096;
        receive_memory memory{memory_size(limit)};
        std::array<std::unique_ptr<receive_memory::share>, 16> shares;
        std::array<std::size_t, shares.size()> sizes{};
        for (auto &share : shares)
            share = std::make_unique<receive_memory::share>(&memory);
        for (const std::uint16_t event : events) {
            const std::size_t index = event % shares.size();
            const std::size_t size = sizes[index] + event / shares.size() % 700;
            if (event % 11 == 0) {
                shares[index]->release();
                sizes[index] = 0;
            } else if (shares[index]->resize(size)) {
                sizes[index] = size;
            } else {
                const bool isWithinEvenShare = size <= limit / shares.size();
                const std::size_t others = memory.heldBytes() - sizes[index];
                RC_ASSERT(others + size > (isWithinEvenShare ? 2 : 1) * limit);
            }
            std::size_t sum = 0;
            for (const std::size_t held : sizes)
                sum += held;
            RC_ASSERT(memory.heldBytes() == sum);
            RC_ASSERT(sum <= 2 * limit);
        }
        for (auto &share : shares)
            share.reset();
        RC_ASSERT(memory.heldBytes() == 0u);
    });
}

TEST_CASE("a response without end is given up in whichever part of it the bytes come")
{
    constexpr std::size_t exchangeCount = 40;
    constexpr std::size_t limitBytes = std::size_t{1024} * 1024;
    // A response of the largest size, and what is on its way.
    constexpr std::size_t maximumSentBytes = std::size_t{16} * 1024 * 1024;
    for (const tests::endless_response &testCase : tests::endlessResponses()) {
        CAPTURE(testCase.name);
        tests::loop_fixture f;
        endless_peer peer(f.loop, testCase.begin, testCase.repeated);
        receive_memory memory{memory_size(limitBytes)};
        client_pool pool(f.loop, f.time, {"127.0.0.1", peerPort},
                         {.maximumConnections = exchangeCount, .memory = &memory});
        std::size_t ended = 0;
        for (std::size_t number = 0; number < exchangeCount; ++number)
            pool.send(plainRequest([&](exchange_result &&result) {
                CHECK((result.end == exchange_end::Lost || result.end == exchange_end::Oversized));
                ++ended;
            }));
        f.runUntil([&] { return ended == exchangeCount && peer.openCount() == 0; });
        CHECK(memory.heldBytes() == 0);
        CHECK(memory.peakBytes() <= 2 * limitBytes);
        CHECK(peer.mostSentBytes() <= maximumSentBytes);
    }
}

TEST_CASE("a small response is read while many others are without end")
{
    tests::loop_fixture f;
    endless_peer peer(f.loop, "HTTP/1.1 200 OK\r\n\r\n", "x");
    receive_memory memory{megabytes(1)};
    client_pool endless(f.loop, f.time, {"127.0.0.1", peerPort},
                        {.maximumConnections = 100, .memory = &memory});
    standins::platform_target target(f.loop, f.time, {"127.0.0.1", peerPort + 1},
                                     {.instance = "i-0", .service = "s1"});
    client_pool sound(f.loop, f.time, {"127.0.0.1", peerPort + 1}, {.memory = &memory});
    // Each response without end is requested again as soon as it has been given up.
    std::function<void()> sendEndless = [&] {
        endless.send(plainRequest([&](exchange_result &&) { sendEndless(); }));
    };
    for (int number = 0; number < 20; ++number)
        sendEndless();
    f.runUntil([&] { return memory.refusedCount() > 0; });
    for (int number = 0; number < 50; ++number) {
        std::optional<exchange_result> result;
        sound.send({.bytes = "GET /x HTTP/1.1\r\nX-Expected-Instance: i-0\r\n"
                             "X-Attempt-Id: id\r\n\r\n",
                    .matchesRequest = {},
                    .onEnd = [&](exchange_result &&ended) { result = std::move(ended); }});
        f.runUntil([&] { return result.has_value(); });
        CHECK(result->end == exchange_end::Answered);
    }
    CHECK(memory.peakBytes() <= 2 * megabytes(1).value());
}

TEST_CASE("requests of other hosts without end take a part of the memory only")
{
    struct row
    {
        std::string name;
        std::string begin;
    };
    const row rows[] = {
        {"a body", "POST /x HTTP/1.1\r\nContent-Length: 900000\r\n\r\n"},
        {"bytes behind a request that runs", "GET /x HTTP/1.1\r\n\r\n"},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        tests::loop_fixture f;
        receive_memory memory{megabytes(2)};
        std::vector<std::unique_ptr<caller_exchange>> running;
        caller_server server(
            f.loop, f.time, {"127.0.0.1", peerPort},
            [&](auto exchange) { running.push_back(std::move(exchange)); }, &memory);
        std::vector<std::unique_ptr<tests::blocking_connection>> senders;
        for (int number = 0; number < 20; ++number) {
            senders.push_back(std::make_unique<tests::blocking_connection>(peerPort));
            senders.back()->send(testCase.begin);
        }
        f.runFor(20ms);
        for (int round = 0; round < 25; ++round) {
            for (const auto &sender : senders)
                sender->trySend(std::string(32 * 1024, 'x'));
            f.runFor(2ms);
        }
        CHECK(memory.refusedCount() > 0);
        CHECK(memory.peakBytes() <= 2 * megabytes(2).value());
    }
}

TEST_CASE("a target that sends without end on many connections leaves the memory of a small host")
{
    struct row
    {
        std::string name;
        standins::target_fault fault;
    };
    for (const row &testCase : {row{"a body", standins::target_fault::EndlessBody},
                                row{"chunks", standins::target_fault::EndlessChunks}}) {
        CAPTURE(testCase.name);
        constexpr std::size_t callers = 300;
        tests::single_host_fixture f;
        f.target.setSlots(callers);
        f.target.setFault(testCase.fault);
        f.registerTarget(f.local(f.targetPort));
        f.writeConfiguration(1, 0, 2 * callers);
        settings::serving_settings settings = f.hostSettings();
        f.startHost(settings);
        client_pool pool(f.loop, f.time, f.local(f.callerPort), {.maximumConnections = callers});
        std::size_t ended = 0;
        const std::size_t before = tests::allocatedBytes();
        for (std::size_t number = 0; number < callers; ++number)
            pool.send({.bytes = f.callerRequest(),
                       .matchesRequest = {},
                       .onEnd = [&](exchange_result &&) { ++ended; }});
        std::size_t peak = before;
        f.runUntil(
            [&] {
                peak = std::max(peak, tests::allocatedBytes());
                return ended == callers;
            },
            15s);
        MESSAGE(testCase.name, ": ", (peak - before) / 1024, " KB");
        // Enough to fill the memory of the host with responses of the largest size.
        CHECK(f.target.runCount() >= callers / 5);
        CHECK(peak - before <= smallHost.value() / 2);
    }
}
