#pragma once

#include <mustardcourse/settings/ini_document.h>

#include <initializer_list>
#include <string_view>

namespace mustardcourse::settings {

/** Returns a section. @throws settings_error if there is none */
const ini_section &requireSection(const ini_document &document, std::string_view name);

/** @throws settings_error at the first section that is not among the known ones */
void refuseUnknownSections(const ini_document &document,
                           std::initializer_list<std::string_view> known);

} // namespace mustardcourse::settings
