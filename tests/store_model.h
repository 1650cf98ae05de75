#pragma once

#include <mustardcourse/store/era_tracker.h>
#include <mustardcourse/store/lease_membership.h>
#include <mustardcourse/store/store_mirror.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardcourse::tests {

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

    /** @returns the key as it was written */
    store::store_item write(const std::string &key, const std::string &value,
                            std::uint64_t lease = 0)
    {
        ++m_content.revision;
        m_content.items[key] = {value, m_content.revision, lease};
        m_content.changes.push_back({key, value, position(m_content.revision), false});
        return m_content.changes.back();
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
        for (store::store_item &change : m_content.changes)
            change.modified = position(change.modified.number().value());
    }

    [[nodiscard]] store::store_batch list(const std::string &after) const
    {
        constexpr std::size_t pageSize = 2;
        store::store_batch page;
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

    [[nodiscard]] store::store_batch watch(const store::store_position &since) const
    {
        store::store_batch batch;
        // A request names only the revision; the store does not know of which era that was.
        const std::uint64_t after = since.number().value();
        batch.failure = after > m_content.revision ? store::store_failure::HistoryCompacted
                                                   : store::store_failure::None;
        batch.current = position(m_content.revision);
        if (batch.failure != store::store_failure::None)
            return batch;
        for (const store::store_item &change : m_content.changes) {
            if (change.modified.number().value() > after)
                batch.items.push_back(change);
        }
        return batch;
    }

    [[nodiscard]] store::store_era era() const { return store::store_era(m_era); }
    [[nodiscard]] const std::map<std::string, stored_item> &items() const
    {
        return m_content.items;
    }

private:
    struct content
    {
        std::map<std::string, stored_item> items;
        std::vector<store::store_item> changes;
        std::uint64_t revision = 1;
        std::set<std::uint64_t> leases;
        std::uint64_t lastLease = 0;
    };

    [[nodiscard]] store::store_position position(std::uint64_t number) const
    {
        return {store::store_era(m_era), revision(number)};
    }

    content m_content;
    content m_copy;
    std::uint64_t m_era = 1;
};

/** A client whose calls are executed, answered and lost in any order. */
class model_client
{
public:
    model_client(model_store &store, std::function<void(store::store_era)> onNewEra)
        : m_store(store)
        , m_onNewEra(std::move(onNewEra))
    { }

    /** Sets the handler for keys that a call has written, called before that of the call. */
    void onItems(store::items_handler handler) { m_onItems = std::move(handler); }

    void list(std::string_view, std::string_view after, store::batch_handler handler)
    {
        call<store::store_batch>([this, key = std::string(after)] { return m_store.list(key); },
                                 std::move(handler));
    }

    void watch(std::string_view, const store::store_position &since, duration,
               store::batch_handler handler)
    {
        call<store::store_batch>([this, since] { return m_store.watch(since); },
                                 std::move(handler));
    }

    void grantLease(duration, store::lease_handler handler)
    {
        call<store::lease_grant>(
            [this] {
                return store::lease_grant{store::store_failure::None,
                                          {m_store.era(), std::to_string(m_store.grantLease())},
                                          std::chrono::seconds(1)};
            },
            std::move(handler));
    }

    void renewLease(const store::lease_id &lease, store::completion_handler handler)
    {
        call<outcome>(
            [this, lease] {
                return outcome{m_store.hasLease(std::stoull(lease.id))
                                   ? store::store_failure::None
                                   : store::store_failure::NotFound};
            },
            [handler = std::move(handler)](outcome &&result) { handler(result.failure); });
    }

    void revokeLease(const store::lease_id &lease) { m_store.endLease(std::stoull(lease.id)); }

    void put(const std::string &key, const std::string &value, const store::lease_id &lease,
             store::completion_handler handler)
    {
        call<outcome>(
            [this, key, value, lease] {
                const std::uint64_t id = std::stoull(lease.id);
                if (!m_store.hasLease(id))
                    return outcome{store::store_failure::NotFound};
                return outcome{store::store_failure::None, m_store.write(key, value, id)};
            },
            [this, handler = std::move(handler)](outcome &&result) {
                reportItem(result);
                handler(result.failure);
            });
    }

    /** Writes a key without a lease, with a value that is determined when it is written. */
    void write(const std::string &key, std::function<std::string()> nextValue)
    {
        call<outcome>(
            [this, key, nextValue = std::move(nextValue)] {
                return outcome{store::store_failure::None, m_store.write(key, nextValue())};
            },
            [this](outcome &&result) { reportItem(result); });
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
        const bool isOutdated = observed == store::era_tracker::observation::Outdated;
        call.respond(isOutdated ? store::store_failure::Outdated : store::store_failure::None);
        if (observed == store::era_tracker::observation::NewEra)
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
        store::store_failure failure = store::store_failure::None;
        std::optional<store::store_item> written = std::nullopt;
    };

    void reportItem(const outcome &result)
    {
        if (result.written && m_onItems)
            m_onItems({*result.written});
    }

    /** Delivers a result, or a failure in its place. */
    using responder = std::function<void(store::store_failure)>;

    struct pending_call
    {
        store::era_tracker::call_number number;
        std::function<responder()> execute;
        std::function<void()> fail;
        responder respond;
        store::store_era era;
    };

    template <typename Result, typename Execute>
    void call(Execute execute, std::function<void(Result &&)> handler)
    {
        const auto failWith = [handler](store::store_failure failure) {
            Result result;
            result.failure = failure;
            handler(std::move(result));
        };
        pending_call added;
        added.number = m_eras.beginCall();
        added.execute = [execute, handler, failWith]() -> responder {
            return [result = execute(), handler, failWith](store::store_failure failure) {
                if (failure != store::store_failure::None)
                    return failWith(failure);
                handler(Result(result));
            };
        };
        added.fail = [failWith] { failWith(store::store_failure::Unanswered); };
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
    std::function<void(store::store_era)> m_onNewEra;
    store::items_handler m_onItems;
    store::era_tracker m_eras;
    std::vector<pending_call> m_calls;
};

/** Records the values that a mirror reports, which are increasing numbers. */
class value_recorder final : public store::mirror_listener
{
public:
    /** What the mirror has followed so far. */
    struct mirror_state
    {
        store::store_era era;
        bool isComplete = false;
    };

    explicit value_recorder(std::function<mirror_state()> currentState)
        : m_currentState(std::move(currentState))
    { }

    [[nodiscard]] const std::map<std::string, std::string> &values() const { return m_values; }
    /** Returns whether a value of a complete mirror has decreased within an era. */
    [[nodiscard]] bool hasGoneBack() const { return m_hasGoneBack; }

    /** Calls a handler when a key is removed. */
    void onRemoval(std::function<void(const std::string &)> handler)
    {
        m_removalHandler = std::move(handler);
    }

private:
    void onKeyUpdated(const std::string &key, const std::string &value) override
    {
        const mirror_state state = m_currentState();
        const std::uint64_t number = std::stoull(value);
        newest_value &newest = m_newest[key];
        const bool isComparable = state.isComplete && newest.era == state.era;
        m_hasGoneBack = m_hasGoneBack || (isComparable && number < newest.number);
        newest = {state.era, number};
        m_values[key] = value;
    }

    void onKeyRemoved(const std::string &key) override
    {
        m_values.erase(key);
        if (m_removalHandler)
            m_removalHandler(key);
    }

    void onInitialListingComplete() override { }

    struct newest_value
    {
        store::store_era era;
        std::uint64_t number = 0;
    };

    std::function<mirror_state()> m_currentState;
    std::function<void(const std::string &)> m_removalHandler;
    std::map<std::string, std::string> m_values;
    std::map<std::string, newest_value> m_newest;
    bool m_hasGoneBack = false;
};

/** Answers all pending calls of some hosts. */
template <typename Hosts>
void answerPendingCalls(const Hosts &hosts)
{
    for (const auto &host : hosts) {
        for (std::size_t left = host->client.pendingCount(); left > 0; --left) {
            host->client.execute(0);
            host->client.deliver(0);
        }
    }
}

/** Returns whether any of some hosts has gone back. */
template <typename Hosts>
bool hasAnyGoneBack(const Hosts &hosts)
{
    return std::any_of(hosts.begin(), hosts.end(),
                       [](const auto &host) { return host->recorder.hasGoneBack(); });
}

/** Returns whether each of some hosts holds what the store does. */
template <typename Hosts>
bool areAllCurrent(const Hosts &hosts, const model_store &content)
{
    std::map<std::string, std::string> expected;
    for (const auto &[key, item] : content.items())
        expected[key] = item.value;
    return std::all_of(hosts.begin(), hosts.end(),
                       [&](const auto &host) { return host->recorder.values() == expected; });
}

} // namespace mustardcourse::tests
