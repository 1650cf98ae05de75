#pragma once

#include <compare>
#include <functional>
#include <utility>

namespace mustardcourse {

/**
    Strong typedef: wraps a value in a type of its own, without implicit conversions.

    Use it for identifiers and counters, so that a service name cannot be passed where a host name
    is expected. The tag type distinguishes the wrappers and is never defined.
*/
template <typename Tag, typename Value>
class strong_value
{
public:
    using value_type = Value;

    constexpr strong_value() = default;
    constexpr explicit strong_value(Value value)
        : m_value(std::move(value))
    { }

    /** Returns the underlying value, for serialisation and arithmetic. */
    [[nodiscard]] constexpr const Value &value() const noexcept { return m_value; }

    friend constexpr auto operator<=>(const strong_value &, const strong_value &) = default;

private:
    Value m_value{};
};

} // namespace mustardcourse

/** Hashes a strong value like its underlying value. */
template <typename Tag, typename Value>
struct std::hash<mustardcourse::strong_value<Tag, Value>>
{
    std::size_t operator()(const mustardcourse::strong_value<Tag, Value> &key) const noexcept
    {
        return std::hash<Value>{}(key.value());
    }
};
