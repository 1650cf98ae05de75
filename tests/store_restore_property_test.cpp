#include "loop_fixture.h"
#include "property.h"

#include <mustardcourse/store/change_log.h>
#include <mustardcourse/store/era_tracker.h>
#include <mustardcourse/store/lease_membership.h>
#include <mustardcourse/store/store_mirror.h>

#include <array>
#include <memory>

using namespace mustardcourse;
using namespace mustardcourse::store;
using namespace std::chrono_literals;

namespace {

/** The content of a store, with a copy that it can be restored from. */
class model_store
{
public:
    struct stored_item
    {
        std::string value;
        std::uint64_t modified = 0;
        std::uint64_t lease = 0;
    };

    void write(const std::string &key, const std::string &value, std::uint64_t lease = 0)
    {
        ++m_content.revision;
        m_content.items[key] = {value, m_content.revision, lease};
        m_content.changes.push_back({key, value, position(m_content.revision), false});
    }

    void erase(const std::string &key)
    {
        if (m_content.items.erase(key) == 0)
            return;
        ++m_content.revision;
        m_content.changes.push_back({key, "", position(m_content.revision), true});
    }

    std::uint64_t grantLease()
    {
        m_content.leases.insert(++m_content.lastLease);
        return m_content.lastLease;
    }

    [[nodiscard]] bool hasLease(std::uint64_t lease) const
    {
        return m_content.leases.contains(lease);
    }

    void endLease(std::uint64_t lease)
    {
        m_content.leases.erase(lease);
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_content.items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        for (const std::string &key : keys)
            erase(key);
    }

    /** Ends one of the present leases. */
    void endAnyLease(std::size_t choice)
    {
        if (!m_content.leases.empty())
            endLease(*std::next(m_content.leases.begin(),
                                static_cast<long>(choice % m_content.leases.size())));
    }

    void takeCopy() { m_copy = m_content; }

    void restoreCopy()
    {
        m_content = m_copy;
        ++m_era;
        for (store_item &change : m_content.changes)
            change.modified = position(change.modified.number().value());
    }

    [[nodiscard]] store_batch list(const std::string &after) const
    {
        constexpr std::size_t pageSize = 2;
        store_batch page;
        page.current = position(m_content.revision);
        for (const auto &[key, item] : m_content.items) {
            if (key <= after)
                continue;
            page.hasMorePages = page.items.size() == pageSize;
            if (page.hasMorePages)
                break;
            page.items.push_back({key, item.value, position(item.modified), false});
        }
        return page;
    }

    [[nodiscard]] store_batch watch(const store_position &since) const
    {
        store_batch batch;
        // A request names only the revision; the store does not know of which era that was.
        const std::uint64_t after = since.number().value();
        batch.failure =
            after > m_content.revision ? store_failure::HistoryCompacted : store_failure::None;
        batch.current = position(m_content.revision);
        if (batch.failure != store_failure::None)
            return batch;
        for (const store_item &change : m_content.changes) {
            if (change.modified.number().value() > after)
                batch.items.push_back(change);
        }
        return batch;
    }

    [[nodiscard]] store_era era() const { return store_era(m_era); }
    [[nodiscard]] const std::map<std::string, stored_item> &items() const
    {
        return m_content.items;
    }

private:
    struct content
    {
        std::map<std::string, stored_item> items;
        std::vector<store_item> changes;
        std::uint64_t revision = 1;
        std::set<std::uint64_t> leases;
        std::uint64_t lastLease = 0;
    };

    [[nodiscard]] store_position position(std::uint64_t number) const
    {
        return {store_era(m_era), revision(number)};
    }

    content m_content;
    content m_copy;
    std::uint64_t m_era = 1;
};

/** A client whose calls are executed, answered and lost in any order. */
class model_client
{
public:
    model_client(model_store &store, std::function<void(store_era)> onNewEra)
        : m_store(store)
        , m_onNewEra(std::move(onNewEra))
    { }

    void list(std::string_view, std::string_view after, batch_handler handler)
    {
        call<store_batch>([this, key = std::string(after)] { return m_store.list(key); },
                          std::move(handler));
    }

    void watch(std::string_view, const store_position &since, duration, batch_handler handler)
    {
        call<store_batch>([this, since] { return m_store.watch(since); }, std::move(handler));
    }

    void grantLease(duration, lease_handler handler)
    {
        call<lease_grant>(
            [this] {
                return lease_grant{
                    store_failure::None, {m_store.era(), std::to_string(m_store.grantLease())}, 1s};
            },
            std::move(handler));
    }

    void renewLease(const lease_id &lease, completion_handler handler)
    {
        call<outcome>(
            [this, lease] {
                return outcome{m_store.hasLease(std::stoull(lease.id)) ? store_failure::None
                                                                       : store_failure::NotFound};
            },
            [handler = std::move(handler)](outcome &&result) { handler(result.failure); });
    }

    void revokeLease(const lease_id &lease) { m_store.endLease(std::stoull(lease.id)); }

    void put(const std::string &key, const std::string &value, const lease_id &lease,
             completion_handler handler)
    {
        call<outcome>(
            [this, key, value, lease] {
                const std::uint64_t id = std::stoull(lease.id);
                if (!m_store.hasLease(id))
                    return outcome{store_failure::NotFound};
                m_store.write(key, value, id);
                return outcome{store_failure::None};
            },
            [handler = std::move(handler)](outcome &&result) { handler(result.failure); });
    }

    [[nodiscard]] std::size_t pendingCount() const { return m_calls.size(); }

    /** Executes one of the pending calls at the store, unless that was done. */
    void execute(std::size_t choice)
    {
        if (m_calls.empty())
            return;
        pending_call &call = m_calls[choice % m_calls.size()];
        if (call.respond)
            return;
        call.era = m_store.era();
        call.respond = call.execute();
    }

    /** Delivers the response of one of the pending calls, if it was executed. */
    void deliver(std::size_t choice)
    {
        if (m_calls.empty() || !m_calls[choice % m_calls.size()].respond)
            return;
        const pending_call call = remove(choice);
        const auto observed = m_eras.observe(call.number, call.era);
        const bool isOutdated = observed == era_tracker::observation::Outdated;
        call.respond(isOutdated ? store_failure::Outdated : store_failure::None);
        if (observed == era_tracker::observation::NewEra)
            m_onNewEra(m_eras.era());
    }

    /** Lets one of the pending calls end without a response. */
    void lose(std::size_t choice)
    {
        if (!m_calls.empty())
            remove(choice).fail();
    }

private:
    struct outcome
    {
        store_failure failure = store_failure::None;
    };

    /** Delivers a result, or a failure in its place. */
    using responder = std::function<void(store_failure)>;

    struct pending_call
    {
        era_tracker::call_number number;
        std::function<responder()> execute;
        std::function<void()> fail;
        responder respond;
        store_era era;
    };

    template <typename Result, typename Execute>
    void call(Execute execute, std::function<void(Result &&)> handler)
    {
        const auto failWith = [handler](store_failure failure) {
            Result result;
            result.failure = failure;
            handler(std::move(result));
        };
        pending_call added;
        added.number = m_eras.beginCall();
        added.execute = [execute, handler, failWith]() -> responder {
            return [result = execute(), handler, failWith](store_failure failure) {
                if (failure != store_failure::None)
                    return failWith(failure);
                handler(Result(result));
            };
        };
        added.fail = [failWith] { failWith(store_failure::Unanswered); };
        m_calls.push_back(std::move(added));
    }

    pending_call remove(std::size_t choice)
    {
        const auto found = m_calls.begin() + static_cast<long>(choice % m_calls.size());
        pending_call removed = std::move(*found);
        m_calls.erase(found);
        return removed;
    }

    model_store &m_store;
    std::function<void(store_era)> m_onNewEra;
    era_tracker m_eras;
    std::vector<pending_call> m_calls;
};

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
class model_host final : private mirror_listener
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
        , mirror(loop, time, log, relayedStore, *this,
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
        mirror.start();
        membership.join();
    }

    model_client client;
    change_log changes;
    model_relayed_store relayedStore;
    store_mirror<model_relayed_store> mirror;
    lease_membership<model_client> membership;
    std::string ownKey;
    std::map<std::string, std::string> values;
    bool hasGoneBack = false;

private:
    void onKeyUpdated(const std::string &key, const std::string &value) override
    {
        const store_era era = mirror.progress().position.era();
        const std::uint64_t number = std::stoull(value);
        newest_value &newest = m_newest[key];
        const bool isComparable = mirror.isComplete() && newest.era == era;
        hasGoneBack = hasGoneBack || (isComparable && number < newest.number);
        newest = {era, number};
        values[key] = value;
    }

    void onKeyRemoved(const std::string &key) override
    {
        values.erase(key);
        if (key == ownKey)
            membership.onKeyRemoved();
    }

    void onInitialListingComplete() override { }

    struct newest_value
    {
        store_era era;
        std::uint64_t number = 0;
    };
    std::map<std::string, newest_value> m_newest;
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
        const unsigned argument = random / 16;
        const std::size_t hostNumber = argument % m_hosts.size();
        model_client &client = m_hosts[hostNumber]->client;
        const std::size_t choice = argument / m_hosts.size();
        const std::string key = "key-" + std::to_string(argument % 5);
        switch (random % 16) {
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
            for (const auto &host : m_hosts) {
                for (std::size_t left = host->client.pendingCount(); left > 0; --left) {
                    host->client.execute(0);
                    host->client.deliver(0);
                }
            }
            m_loop.runFor(0ms);
        }
    }

    [[nodiscard]] bool hasGoneBack() const
    {
        return std::any_of(m_hosts.begin(), m_hosts.end(),
                           [](const auto &host) { return host->hasGoneBack; });
    }

    /** Returns whether every host holds what the store does. */
    [[nodiscard]] bool isCurrent() const
    {
        std::map<std::string, std::string> expected;
        for (const auto &[key, item] : m_store.items())
            expected[key] = item.value;
        return std::all_of(m_hosts.begin(), m_hosts.end(),
                           [&](const auto &host) { return host->values == expected; });
    }

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
