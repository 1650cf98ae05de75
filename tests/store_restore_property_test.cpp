#include "loop_fixture.h"
#include "property.h"
#include "store_model.h"

#include <mustardcourse/store/change_log.h>
#include <mustardcourse/store/era_tracker.h>
#include <mustardcourse/store/lease_membership.h>
#include <mustardcourse/store/store_mirror.h>

#include <array>
#include <memory>

using namespace mustardcourse;
using namespace mustardcourse::store;
using namespace std::chrono_literals;
using tests::model_client;
using tests::model_store;
using tests::value_recorder;

namespace {

/** A store whose watches go through the log of a relay, if there is one. */
class model_relayed_store
{
public:
    model_relayed_store(model_client &client, change_log &ownLog, const change_log *relay)
        : m_client(client)
        , m_ownLog(ownLog)
        , m_relay(relay)
    { }

    void list(std::string_view prefix, std::string_view after, batch_handler handler)
    {
        m_client.list(prefix, after, std::move(handler));
    }

    void watch(std::string_view prefix, const store_position &since, duration wait,
               batch_handler handler)
    {
        auto changes = m_relay == nullptr ? std::nullopt : m_relay->changesSince(since);
        if (changes && !changes->items.empty())
            return handler(std::move(*changes));
        m_client.watch(prefix, since, wait,
                       [this, since, handler = std::move(handler)](store_batch &&batch) {
                           if (batch.failure == store_failure::None)
                               m_ownLog.append(since, batch);
                           handler(std::move(batch));
                       });
    }

private:
    model_client &m_client;
    change_log &m_ownLog;
    const change_log *m_relay;
};

/** A host that mirrors the store and is a member; the values of the keys are rising numbers. */
class model_host
{
public:
    model_host(net::loop &loop, const mustardcourse::clock &time, const logger &log,
               model_store &store, const std::string &name, const change_log *relay)
        : client(store,
                 [this](store_era era) {
                     mirror.onNewEra(era);
                     membership.onNewEra(era);
                 })
        , relayedStore(client, changes, relay)
        , mirror(loop, time, log, relayedStore, recorder,
                 {.prefixes = {""},
                  .watchedPrefix = "",
                  .expiryGracePeriod = 0ms,
                  .watchPause = 0ms,
                  .initialRetryDelay = 0ms,
                  .maximumRetryDelay = 0ms})
        , membership(loop, log, client,
                     {.key = "hosts/" + name,
                      .value = "0",
                      .leaseLifetime = 1s,
                      .renewalInterval = 0ms,
                      .initialRetryDelay = 0ms},
                     [this] { mirror.recordStoreFailure(); })
        , ownKey("hosts/" + name)
    {
        recorder.onRemoval([this](const std::string &key) {
            if (key == ownKey)
                membership.onKeyRemoved();
        });
        client.onItems(
            [this](std::vector<store_item> &&items) { mirror.observe(std::move(items)); });
        mirror.start();
        membership.join();
    }

    model_client client;
    change_log changes;
    model_relayed_store relayedStore;
    value_recorder recorder{[this] {
        return value_recorder::mirror_state{mirror.progress().position.era(), mirror.isComplete()};
    }};
    store_mirror<model_relayed_store> mirror;
    lease_membership<model_client> membership;
    std::string ownKey;
};

/** A relay, a host that follows it and one that does not, with one store. */
class model_fleet
{
public:
    explicit model_fleet(tests::loop_fixture &loop)
        : m_loop(loop)
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            start(i);
    }

    /** Carries out one step of a random sequence. */
    void step(unsigned random)
    {
        const unsigned argument = random / 18;
        const std::size_t hostNumber = argument % m_hosts.size();
        model_client &client = m_hosts[hostNumber]->client;
        const std::size_t choice = argument / m_hosts.size();
        const std::string key = "key-" + std::to_string(argument % 5);
        switch (random % 18) {
        case 0:
        case 1:
            m_store.write(key, std::to_string(++m_lastNumber));
            break;
        case 2:
            m_store.erase(key);
            break;
        case 3:
            m_store.takeCopy();
            break;
        case 4:
            m_store.restoreCopy();
            break;
        case 5:
            m_store.endAnyLease(argument);
            break;
        case 6:
            if (argument % 4 == 0)
                start(hostNumber);
            break;
        case 7:
            client.lose(choice);
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
        case 12:
            m_store.erase(m_hosts[hostNumber]->ownKey);
            break;
        case 13:
            client.write(key, [this] { return std::to_string(++m_lastNumber); });
            break;
        default:
            client.deliver(choice);
        }
        m_loop.runFor(0ms);
    }

    /** Answers all calls until the hosts have had time to follow the store. */
    void settle()
    {
        constexpr int rounds = 12;
        for (int round = 0; round < rounds; ++round) {
            tests::answerPendingCalls(m_hosts);
            m_loop.runFor(0ms);
        }
    }

    [[nodiscard]] bool hasGoneBack() const { return tests::hasAnyGoneBack(m_hosts); }

    /** Returns whether every host holds what the store does. */
    [[nodiscard]] bool isCurrent() const { return tests::areAllCurrent(m_hosts, m_store); }

    [[nodiscard]] bool areAllMembers() const
    {
        return std::all_of(m_hosts.begin(), m_hosts.end(), [this](const auto &host) {
            return m_store.items().contains(host->ownKey);
        });
    }

private:
    void start(std::size_t number)
    {
        const bool isFollower = number == 1;
        if (!isFollower && m_hosts[1]) {
            // The follower reads the log of the relay, which is about to be replaced.
            m_hosts[1].reset();
            start(number, nullptr);
            return start(1);
        }
        start(number, isFollower ? &m_hosts[0]->changes : nullptr);
    }

    void start(std::size_t number, const change_log *relay)
    {
        m_hosts[number].reset();
        m_hosts[number] = std::make_unique<model_host>(m_loop.loop, m_loop.time, m_log, m_store,
                                                       "host-" + std::to_string(number), relay);
    }

    tests::loop_fixture &m_loop;
    logger m_log{m_loop.time, "test", log_level::Error};
    model_store m_store;
    std::uint64_t m_lastNumber = 0;
    std::array<std::unique_ptr<model_host>, 3> m_hosts;
};

} // namespace

TEST_CASE("hosts follow a store through any sequence of writes and restores and lost answers")
{
    constexpr std::size_t sequencesPerRun = 100;
    constexpr std::size_t stepsPerSequence = 40;
    CHECK_PROPERTY("restore", [] {
        const auto sequences = *rc::gen::container<std::vector<std::vector<unsigned>>>(
            sequencesPerRun,
            rc::gen::container<std::vector<unsigned>>(stepsPerSequence,
                                                      rc::gen::inRange(0U, 1U << 16U)));
        tests::loop_fixture loop;
        for (const auto &sequence : sequences) {
            model_fleet fleet(loop);
            for (const unsigned random : sequence)
                fleet.step(random);
            RC_ASSERT_FALSE(fleet.hasGoneBack());
            fleet.settle();
            RC_ASSERT_FALSE(fleet.hasGoneBack());
            RC_ASSERT(fleet.areAllMembers());
            RC_ASSERT(fleet.isCurrent());
        }
    });
}
