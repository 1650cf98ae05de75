#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/log.h>
#include <mustardcourse/settings/team_record.h>
#include <mustardcourse/settings/team_settings.h>

#include <map>
#include <set>

namespace mustardcourse::daemon {

/** One team's settings in force on this host. */
struct settings_in_force
{
    settings::team_record record;
    settings::team_settings parsed;
};

/** A service together with the team that owns it. */
struct owned_service
{
    const settings_in_force &owner;
    const settings::service_settings &service;
};

/**
    The settings in force on this host. A team's revision never decreases.
*/
class settings_view
{
public:
    /** The team whose data centre states apply to the services of every team. */
    static constexpr std::string_view operationsTeam = "operations";

    explicit settings_view(const logger &log);

    /** Puts a record into force if it is newer and valid. Returns whether it did. */
    bool applyIfNewer(const settings::team_record &record);

    /** Returns the settings of a team, or null. */
    [[nodiscard]] const settings_in_force *find(const team_id &team) const;

    /** Returns the service of that name and its team, or nothing. */
    [[nodiscard]] std::optional<owned_service> findService(const service_id &service) const;

    /** Returns the data centres that receive no new work of a team. */
    [[nodiscard]] std::set<data_centre_id> dataCentresOut(const team_id &team) const;

    /** Returns whether a data centre is out for every team. */
    [[nodiscard]] bool isOutForAllTeams(const data_centre_id &dataCentre) const;

    [[nodiscard]] revision revisionOf(const team_id &team) const;
    [[nodiscard]] const std::map<team_id, settings_in_force> &teams() const noexcept
    {
        return m_teams;
    }

private:
    const logger &m_log;
    std::map<team_id, settings_in_force> m_teams;
};

} // namespace mustardcourse::daemon
