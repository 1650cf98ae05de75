#include "log_level_name.h"

namespace mustardcourse::settings {

log_level readLogLevel(const ini_document &document)
{
    const ini_section *section = document.find("log");
    if (section == nullptr)
        return log_level::Info;
    section_reader reader(document, *section);
    const std::string name = reader.choice("level", "info", {"debug", "info", "warning", "error"});
    reader.rejectUnknownKeys();
    for (const log_level level : {log_level::Debug, log_level::Info, log_level::Warning}) {
        if (name == nameOf(level))
            return level;
    }
    return log_level::Error;
}

} // namespace mustardcourse::settings
