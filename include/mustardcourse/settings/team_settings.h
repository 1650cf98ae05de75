#pragma once

#include <mustardcourse/core/ids.h>
#include <mustardcourse/registers/shard_map.h>
#include <mustardcourse/settings/ini_document.h>

#include <map>
#include <set>

namespace mustardcourse::settings {

/** One search service of a team. */
struct service_settings
{
    registers::shard_map_pointer map;
    /** Deadline of a lookup for which the caller sets none. */
    std::chrono::microseconds deadline{};
    /** Maximum number of hits that a lookup returns. */
    std::size_t hitLimit = 20;
};

/**
    The parsed settings subtree of one team.

    The text has a section [service NAME] for each service, a section [shard NAME/INDEX] for each
    of its shards, and a section [data_centre NAME] for each data centre whose state is set.
*/
struct team_settings
{
    team_id team;
    revision settingsRevision;
    std::map<service_id, service_settings> services;
    /** Data centres that receive no new requests for the team's services. */
    std::set<data_centre_id> dataCentresOut;

    /** Parses a subtree. @throws settings_error for the first invalid section, key or value */
    static team_settings read(const team_id &team, revision settingsRevision,
                              const ini_document &document);
};

/**
    Returns the text with a new state for one data centre and everything else unchanged.

    @throws settings_error if the text cannot be parsed
*/
std::string withDataCentreState(const std::string &text, const data_centre_id &dataCentre,
                                bool isOut);

} // namespace mustardcourse::settings
