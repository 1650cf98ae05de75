#pragma once

#include <mustardcourse/core/log.h>
#include <mustardcourse/settings/ini_document.h>

namespace mustardcourse::settings {

/** Returns the level set in section [log], Info by default. @throws settings_error */
log_level readLogLevel(const ini_document &document);

} // namespace mustardcourse::settings
