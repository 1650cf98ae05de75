#include "settings_view.h"

#include <fmt/format.h>

namespace mustardcourse::daemon {

settings_view::settings_view(const logger &log)
    : m_log(log)
{ }

bool settings_view::applyIfNewer(const settings::team_record &record)
{
    if (record.settingsRevision <= revisionOf(record.team))
        return false;
    try {
        const auto document = settings::ini_document::parse(
            fmt::format("{}@{}", record.team.value(), record.settingsRevision.value()),
            record.text);
        settings::team_settings parsed =
            settings::team_settings::read(record.team, record.settingsRevision, document);
        m_teams.insert_or_assign(record.team, settings_in_force{record, std::move(parsed)});
    } catch (const settings::settings_error &failure) {
        // Another release, with other rules, may have accepted a text that this one rejects. The
        // settings in force are kept.
        m_log.error("settings-refused",
                    {{"team", record.team.value()}, {"reason", failure.what()}});
        return false;
    }
    m_log.info("settings-in-force",
               {{"team", record.team.value()}, {"revision", record.settingsRevision.value()}});
    return true;
}

const settings_in_force *settings_view::find(const team_id &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? nullptr : &found->second;
}

std::optional<owned_service> settings_view::findService(const service_id &service) const
{
    for (const auto &[team, owner] : m_teams) {
        const auto found = owner.parsed.services.find(service);
        if (found != owner.parsed.services.end())
            return owned_service{owner, found->second};
    }
    return std::nullopt;
}

std::set<data_centre_id> settings_view::dataCentresOut(const team_id &team) const
{
    std::set<data_centre_id> excluded;
    for (const team_id &owner : {team, team_id(std::string(operationsTeam))}) {
        if (const settings_in_force *inForce = find(owner))
            excluded.insert(inForce->parsed.dataCentresOut.begin(),
                            inForce->parsed.dataCentresOut.end());
    }
    return excluded;
}

bool settings_view::isOutForAllTeams(const data_centre_id &dataCentre) const
{
    const settings_in_force *inForce = find(team_id(std::string(operationsTeam)));
    return inForce != nullptr && inForce->parsed.dataCentresOut.contains(dataCentre);
}

revision settings_view::revisionOf(const team_id &team) const
{
    const settings_in_force *inForce = find(team);
    return inForce == nullptr ? revision() : inForce->record.settingsRevision;
}

} // namespace mustardcourse::daemon
