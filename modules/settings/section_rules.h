#pragma once

#include <mustardcourse/settings/ini_document.h>

#include <initializer_list>
#include <string_view>

namespace mustardcourse::settings {

/** Returns the section with this name. @throws settings_error if it is missing */
const ini_section &requireSection(const ini_document &document, std::string_view name);

/** @throws settings_error for the first section whose name is not allowed */
void rejectUnknownSections(const ini_document &document,
                           std::initializer_list<std::string_view> allowedNames);

} // namespace mustardcourse::settings
