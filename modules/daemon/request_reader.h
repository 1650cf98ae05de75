#pragma once

#include "entry.h"
#include "settings_service.h"

namespace mustardcourse::daemon {

/*
    Parse the JSON request bodies described in docs/INTERFACE.md. They throw
    malformed_request_error with a message that names the invalid field.
*/

lookup_request readLookupRequest(const std::string &body);
execute_request readExecuteRequest(const std::string &body);
settings_change readSettingsChange(const team_id &team, const std::string &body);

} // namespace mustardcourse::daemon
