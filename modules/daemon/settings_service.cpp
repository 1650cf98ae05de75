#include "settings_service.h"

namespace mustardcourse::daemon {

namespace {

constexpr const char *teamPrefix = "teams/";
constexpr std::chrono::seconds watchDuration{10};
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
    kj::Promise<void> round = kj::READY_NOW;
    if (!isRelay()) {
        m_nextRevision.reset();
        round = m_loop.sleep(m_retryInterval);
    } else if (!m_nextRevision) {
        round = listOnce();
    } else {
        round = watchOnce();
    }
    return round.then(
        [this, isRelay = std::move(isRelay)]() mutable { return relay(std::move(isRelay)); });
}

kj::Promise<void> settings_service::listOnce()
{
    const time_point requestedAt = m_clock.now();
    return m_store.list(teamPrefix)
        .then([this, requestedAt](platform::watch_result &&result) -> kj::Promise<void> {
            if (result.outcome != platform::read_outcome::Answered) {
                m_log.warning("store-unavailable");
                return m_loop.sleep(m_retryInterval);
            }
            m_nextRevision = result.nextRevision;
            applyRecords(result.changes);
            recordCurrentAt(requestedAt);
            return kj::READY_NOW;
        });
}

kj::Promise<void> settings_service::watchOnce()
{
    const time_point requestedAt = m_clock.now();
    return m_store.watch(teamPrefix, *m_nextRevision, watchDuration)
        .then([this, requestedAt](platform::watch_result &&result) -> kj::Promise<void> {
            if (result.outcome != platform::read_outcome::Answered) {
                m_nextRevision.reset();
                return m_loop.sleep(m_retryInterval);
            }
            m_nextRevision = result.nextRevision;
            applyRecords(result.changes);
            recordCurrentAt(requestedAt);
            return kj::READY_NOW;
        });
}

bool settings_service::applyRecords(const std::vector<platform::stored_value> &values)
{
    bool isChanged = false;
    for (const platform::stored_value &value : values) {
        const auto record = settings::team_record::parse(value.value);
        if (!record) {
            m_log.error("settings-unreadable", {{"key", value.key}});
            continue;
        }
        isChanged = m_view.applyIfNewer(*record) || isChanged;
    }
    if (isChanged && m_listener)
        m_listener();
    return isChanged;
}

kj::Promise<change_result> settings_service::apply(settings_change change)
{
    return readAndApply(std::move(change), maximumAttempts);
}

kj::Promise<change_result> settings_service::readAndApply(settings_change change,
                                                          int remainingAttempts)
{
    const bool isFirstAttempt = remainingAttempts == maximumAttempts;
    return m_store.read(keyOf(change.team))
        .then([this, change, remainingAttempts, isFirstAttempt](
                  platform::read_result &&result) mutable -> kj::Promise<change_result> {
            if (result.outcome == platform::read_outcome::Answered)
                return applyTo(std::move(change), result.value, remainingAttempts);
            const auto outcome =
                isFirstAttempt ? change_outcome::StoreUnavailable : change_outcome::Unknown;
            if (isFirstAttempt || remainingAttempts <= 1)
                return change_result{outcome, {}};
            return m_loop.sleep(m_retryInterval)
                .then([this, change = std::move(change), remainingAttempts]() mutable {
                    return readAndApply(std::move(change), remainingAttempts - 1);
                });
        });
}

kj::Promise<change_result> settings_service::applyTo(settings_change change,
                                                     const platform::stored_value &current,
                                                     int remainingAttempts)
{
    const settings::team_record before = recordFrom(change.team, current);
    if (before.findChange(change.changeId) != nullptr) {
        applyRecords({current});
        return change_result{change_outcome::Applied, before};
    }
    if (before.settingsRevision != change.expectedRevision)
        return change_result{change_outcome::Conflict, before};

    settings::audit_entry entry;
    entry.change = change.changeId;
    entry.author = change.author;
    entry.comment = change.comment;
    entry.at = std::chrono::floor<std::chrono::seconds>(m_clock.wallNow()).time_since_epoch();
    const settings::team_record after = before.after(std::move(entry), change.text);
    auto swapPromise =
        m_store.compareAndSwap(keyOf(change.team), current.storeRevision, after.toText());
    return swapPromise.then(
        [this, change = std::move(change), after,
         remainingAttempts](platform::swap_result &&result) mutable -> kj::Promise<change_result> {
            if (result.outcome == platform::swap_outcome::Swapped) {
                applyRecords({{keyOf(change.team), after.toText(), result.storeRevision}});
                return change_result{change_outcome::Applied, after};
            }
            if (result.outcome == platform::swap_outcome::NotSent
                && remainingAttempts == maximumAttempts)
                return change_result{change_outcome::StoreUnavailable, {}};
            if (remainingAttempts <= 1)
                return change_result{change_outcome::Unknown, {}};
            return readAndApply(std::move(change), remainingAttempts - 1);
        });
}

} // namespace mustardcourse::daemon
