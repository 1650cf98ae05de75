#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace mustardcourse::limits {

/** Priority class of a request. Under overload, lower classes wait longer and are refused first. */
enum class customer_class : std::uint8_t { Low, Normal, High };

/** Returns the lower-case name of a class. */
std::string_view nameOf(customer_class importance);

/** Returns the class with the given name, or std::nullopt if there is none. */
std::optional<customer_class> customerClassFromName(std::string_view name);

} // namespace mustardcourse::limits
