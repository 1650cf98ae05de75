#include "settings_service.h"

namespace mustardcourse::daemon {

namespace {

constexpr const char *teamPrefix = "teams/";
constexpr std::chrono::seconds watchLength{10};
constexpr int maximumAttempts = 5;

std::string keyOf(const team_id &team)
{
    return teamPrefix + team.value();
}

settings::team_record recordFrom(const team_id &team, const platform::stored_value &stored)
{
    if (auto record = settings::team_record::parse(stored.value))
        return std::move(*record);
    settings::team_record empty;
    empty.team = team;
    return empty;
}

} // namespace

settings_service::settings_service(wire::event_loop &loop, const clock &clock, const logger &log,
                                   platform::store_client &store, settings_view &view,
                                   duration retryInterval)
    : m_loop(loop)
    , m_clock(clock)
    , m_log(log)
    , m_store(store)
    , m_view(view)
    , m_retryInterval(retryInterval)
{ }

kj::Promise<void> settings_service::relay(std::function<bool()> isRelay)
{
    kj::Promise<void> turn = kj::READY_NOW;
    if (!isRelay()) {
        m_watchedFrom.reset();
        turn = m_loop.sleep(m_retryInterval);
    } else if (!m_watchedFrom) {
        turn = listOnce();
    } else {
        turn = watchOnce();
    }
    return turn.then(
        [this, isRelay = std::move(isRelay)]() mutable { return relay(std::move(isRelay)); });
}

kj::Promise<void> settings_service::listOnce()
{
    const time_point asked = m_clock.now();
    return m_store.list(teamPrefix)
        .then([this, asked](platform::watch_result &&result) -> kj::Promise<void> {
            if (result.outcome != platform::read_outcome::Answered) {
                m_log.warning("store-unavailable");
                return m_loop.sleep(m_retryInterval);
            }
            m_watchedFrom = result.nextRevision;
            take(result.changes);
            noteFreshAt(asked);
            return kj::READY_NOW;
        });
}

kj::Promise<void> settings_service::watchOnce()
{
    const time_point asked = m_clock.now();
    return m_store.watch(teamPrefix, *m_watchedFrom, watchLength)
        .then([this, asked](platform::watch_result &&result) -> kj::Promise<void> {
            if (result.outcome != platform::read_outcome::Answered) {
                m_watchedFrom.reset();
                return m_loop.sleep(m_retryInterval);
            }
            m_watchedFrom = result.nextRevision;
            take(result.changes);
            noteFreshAt(asked);
            return kj::READY_NOW;
        });
}

bool settings_service::take(const std::vector<platform::stored_value> &values)
{
    bool isChanged = false;
    for (const platform::stored_value &value : values) {
        const auto record = settings::team_record::parse(value.value);
        if (!record) {
            m_log.error("settings-unreadable", {{"key", value.key}});
            continue;
        }
        isChanged = m_view.offer(*record) || isChanged;
    }
    if (isChanged && m_listener)
        m_listener();
    return isChanged;
}

kj::Promise<change_result> settings_service::apply(settings_change change)
{
    return settle(std::move(change), maximumAttempts);
}

kj::Promise<change_result> settings_service::settle(settings_change change, int attempts)
{
    const bool isFirst = attempts == maximumAttempts;
    return m_store.read(keyOf(change.team))
        .then([this, change, attempts,
               isFirst](platform::read_result &&result) mutable -> kj::Promise<change_result> {
            if (result.outcome == platform::read_outcome::Answered)
                return applyTo(std::move(change), result.value, attempts);
            const auto outcome =
                isFirst ? change_outcome::StoreUnavailable : change_outcome::Unknown;
            if (isFirst || attempts <= 1)
                return change_result{outcome, {}};
            return m_loop.sleep(m_retryInterval)
                .then([this, change = std::move(change), attempts]() mutable {
                    return settle(std::move(change), attempts - 1);
                });
        });
}

kj::Promise<change_result> settings_service::applyTo(settings_change change,
                                                     const platform::stored_value &current,
                                                     int attempts)
{
    const settings::team_record before = recordFrom(change.team, current);
    if (before.findChange(change.change) != nullptr) {
        take({current});
        return change_result{change_outcome::Applied, before};
    }
    if (before.settingsRevision != change.expected)
        return change_result{change_outcome::Conflict, before};

    settings::audit_entry entry;
    entry.change = change.change;
    entry.author = change.author;
    entry.comment = change.comment;
    entry.at = std::chrono::floor<std::chrono::seconds>(m_clock.wallNow()).time_since_epoch();
    const settings::team_record after = before.after(std::move(entry), change.text);
    auto swapped =
        m_store.compareAndSwap(keyOf(change.team), current.storeRevision, after.toText());
    return swapped.then([this, change = std::move(change), after, attempts](
                            platform::swap_result &&result) mutable -> kj::Promise<change_result> {
        if (result.outcome == platform::swap_outcome::Swapped) {
            take({{keyOf(change.team), after.toText(), result.storeRevision}});
            return change_result{change_outcome::Applied, after};
        }
        if (result.outcome == platform::swap_outcome::NotSent && attempts == maximumAttempts)
            return change_result{change_outcome::StoreUnavailable, {}};
        if (attempts <= 1)
            return change_result{change_outcome::Unknown, {}};
        return settle(std::move(change), attempts - 1);
    });
}

} // namespace mustardcourse::daemon
