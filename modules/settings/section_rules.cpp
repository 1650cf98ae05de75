#include "section_rules.h"

#include <algorithm>

namespace mustardcourse::settings {

const ini_section &requireSection(const ini_document &document, std::string_view name)
{
    const ini_section *section = document.find(name);
    if (section == nullptr)
        throw settings_error(settings_fault::MissingSection,
                             {document.fileName(), 0, std::string(name), ""},
                             "the section is required");
    return *section;
}

void rejectUnknownSections(const ini_document &document,
                           std::initializer_list<std::string_view> allowedNames)
{
    for (const ini_section &section : document.sections()) {
        if (std::find(allowedNames.begin(), allowedNames.end(), section.name) == allowedNames.end())
            throw settings_error(settings_fault::UnknownSection,
                                 {document.fileName(), section.line, section.name, ""},
                                 "no such section");
    }
}

} // namespace mustardcourse::settings
