#pragma once

#include "settings_view.h"

#include <mustardcourse/platform/store_client.h>

#include <functional>

namespace mustardcourse::daemon {

/** A change of a team's settings requested by an operator. */
struct settings_change
{
    team_id team;
    /** The revision on which the change is based. */
    revision expectedRevision;
    std::string text;
    std::string changeId;
    std::string author;
    std::string comment;
};

/** How a change ended. */
enum class change_outcome {
    Applied,
    /** Another change was applied first; the record contains it. Nothing was changed. */
    Conflict,
    /** The store could not be reached. Nothing was changed. */
    StoreUnavailable,
    /** The store stopped responding. The change may or may not be in force. */
    Unknown,
};

/** The result of a change, with the record that was last read from or written to the store. */
struct change_result
{
    change_outcome outcome = change_outcome::StoreUnavailable;
    settings::team_record record;
};

/**
    Reads and writes the teams' records in the store.

    Only a relay watches the store; the other hosts receive changes from their peers. @see gossip
*/
class settings_service
{
public:
    settings_service(wire::event_loop &loop, const clock &clock, const logger &log,
                     platform::store_client &store, settings_view &view, duration retryInterval);

    /** Watches the store while the predicate holds; otherwise checks it again after an interval. */
    kj::Promise<void> relay(std::function<bool()> isRelay);

    /**
        Applies a change by compare-and-swap. If the response is lost, reads the record and looks
        for the change id. The caller must have validated the text.
    */
    kj::Promise<change_result> apply(settings_change change);

    /** Returns the last time at which the settings were known to match the store. */
    [[nodiscard]] time_point lastCurrentAt() const noexcept { return m_lastCurrentAt; }

    /** Records a time at which the settings were known to match the store, if it is later. */
    void recordCurrentAt(time_point when) { m_lastCurrentAt = std::max(m_lastCurrentAt, when); }

    /** Sets the function to call after settings from the store came into force. */
    void onChange(std::function<void()> listener) { m_listener = std::move(listener); }

private:
    kj::Promise<void> watchOnce();
    kj::Promise<void> listOnce();
    bool applyRecords(const std::vector<platform::stored_value> &values);
    kj::Promise<change_result>
    applyTo(settings_change change, const platform::stored_value &current, int remainingAttempts);
    kj::Promise<change_result> readAndApply(settings_change change, int remainingAttempts);

    wire::event_loop &m_loop;
    const clock &m_clock;
    const logger &m_log;
    platform::store_client &m_store;
    settings_view &m_view;
    duration m_retryInterval;
    time_point m_lastCurrentAt;
    std::optional<revision> m_nextRevision;
    std::function<void()> m_listener;
};

} // namespace mustardcourse::daemon
