// Guards against hosts that miss changes, or go back to older ones, as they read some changes from
// a relay and others from the store: the relay restarts, stops serving, is behind or ahead, and the
// store is restored meanwhile. Relay and hosts talk over real sockets.

#include "loop_fixture.h"
#include "property.h"
#include "store_model.h"

#include <mustardcourse/store/relayed_store.h>

#include <memory>

using namespace mustardcourse;
using namespace mustardcourse::store;
using namespace std::chrono_literals;
using tests::model_client;
using tests::model_store;
using tests::value_recorder;

namespace {

const endpoint relayAddress("127.0.0.1", 20986);

/** A host that mirrors the store. The values of the keys are increasing numbers. */
class relayed_host
{
public:
    relayed_host(net::loop &loop, const mustardcourse::clock &time, const logger &log,
                 model_store &content)
        : client(content,
                 [this](store_era era) {
                     relay.onNewEra();
                     mirror.onNewEra(era);
                 })
        , relay(time)
        , watched(loop, time, log, client, relay, memory, [this] { mirror.recordStoreFailure(); })
        , mirror(loop, time, log, watched, recorder,
                 {.prefixes = {""},
                  .watchedPrefix = "",
                  .expiryGracePeriod = 0ms,
                  .watchPause = 0ms,
                  .initialRetryDelay = 0ms,
                  .maximumRetryDelay = 0ms})
    {
        mirror.start();
    }

    model_client client;
    change_relay relay;
    http::receive_memory memory{megabytes(20)};
    relayed_store<model_client> watched;
    value_recorder recorder{[this] {
        return value_recorder::mirror_state{mirror.progress().position.era(), mirror.isComplete()};
    }};
    store_mirror<relayed_store<model_client>> mirror;
};

/** A relay and two hosts that follow it, with one store. */
class relayed_fleet
{
public:
    explicit relayed_fleet(tests::loop_fixture &fixture)
        : m_fixture(fixture)
    {
        for (std::size_t number = 0; number < m_hosts.size(); ++number)
            start(number);
    }

    /** Carries out one step of a random sequence. */
    void step(unsigned random)
    {
        const unsigned argument = random / 16;
        const std::size_t number = argument % m_hosts.size();
        model_client &client = m_hosts[number]->client;
        const std::size_t choice = argument / m_hosts.size();
        const std::string key = "key-" + std::to_string(argument % 5);
        switch (random % 16) {
        case 0:
        case 1:
            m_content.write(key, std::to_string(++m_lastNumber));
            break;
        case 2:
            m_content.erase(key);
            break;
        case 3:
            m_content.takeCopy();
            break;
        case 4:
            m_content.restoreCopy();
            break;
        case 5:
            start(number);
            break;
        case 6:
            m_hosts[0]->relay.setServing(argument % 2 == 0);
            break;
        case 7:
            // Afterwards a relay that has failed is used again.
            m_time.advance(11s);
            break;
        case 8:
            client.execute(choice);
            client.lose(choice);
            break;
        case 9:
        case 10:
        case 11:
            client.execute(choice);
            break;
        default:
            client.execute(choice);
            client.deliver(choice);
        }
        m_fixture.runFor(1ms);
    }

    /** Answers all calls until the hosts have had time to follow the store. */
    void settle()
    {
        constexpr int rounds = 12;
        for (int round = 0; round < rounds; ++round) {
            tests::answerPendingCalls(m_hosts);
            m_fixture.runFor(3ms);
        }
    }

    [[nodiscard]] bool hasGoneBack() const { return tests::hasAnyGoneBack(m_hosts); }

    /** Returns whether every host holds what the store does. */
    [[nodiscard]] bool isCurrent() const { return tests::areAllCurrent(m_hosts, m_content); }

    [[nodiscard]] std::uint64_t relayedBytes() const { return m_relayedBytes; }

private:
    void start(std::size_t number)
    {
        const bool isRelay = number == 0;
        if (isRelay && m_hosts[0]) {
            m_relayedBytes += m_hosts[0]->relay.sentBytes();
            m_server.reset();
        }
        m_hosts[number].reset();
        m_hosts[number] = std::make_unique<relayed_host>(m_fixture.loop, m_time, m_log, m_content);
        if (!isRelay)
            return m_hosts[number]->watched.setRelays({relayAddress});
        m_hosts[0]->relay.setServing(true);
        m_server.emplace(m_fixture.loop, m_time, relayAddress,
                         [this](auto exchange) { m_hosts[0]->relay.serve(std::move(exchange)); });
    }

    tests::loop_fixture &m_fixture;
    manual_clock m_time;
    logger m_log{m_time, "test", log_level::Error};
    model_store m_content;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_relayedBytes = 0;
    std::array<std::unique_ptr<relayed_host>, 3> m_hosts;
    std::optional<http::caller_server> m_server;
};

} // namespace

TEST_CASE(
    "hosts follow a store through a relay in any sequence of writes and restores and restarts")
{
    constexpr std::size_t sequencesPerRun = 3;
    constexpr std::size_t stepsPerSequence = 40;
    std::uint64_t relayedBytes = 0;
    CHECK_PROPERTY("relay", [&] {
        const auto sequences = *rc::gen::container<std::vector<std::vector<unsigned>>>(
            sequencesPerRun,
            rc::gen::container<std::vector<unsigned>>(stepsPerSequence,
                                                      rc::gen::inRange(0U, 1U << 16U)));
        tests::loop_fixture fixture;
        for (const auto &sequence : sequences) {
            relayed_fleet fleet(fixture);
            for (const unsigned random : sequence)
                fleet.step(random);
            RC_ASSERT_FALSE(fleet.hasGoneBack());
            fleet.settle();
            RC_ASSERT_FALSE(fleet.hasGoneBack());
            RC_ASSERT(fleet.isCurrent());
            relayedBytes += fleet.relayedBytes();
        }
    });
    CHECK(relayedBytes > 0);
}
