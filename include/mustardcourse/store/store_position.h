#pragma once

#include <mustardcourse/core/ids.h>

#include <cstdint>

namespace mustardcourse::store {

/**
    Number of one history of the store.

    A store that is restored from an older copy begins a new era: it has lost the latest changes and
    assigns their revisions and lease ids again. Zero stands for a store that does not report it.
*/
using store_era = strong_value<struct store_era_tag, std::uint64_t>;

/**
    A revision together with the era in which the store assigned it.

    Revisions are ordered only within an era, so positions have no relational operators.
*/
class store_position
{
public:
    constexpr store_position() = default;
    constexpr store_position(store_era era, revision number)
        : m_era(era)
        , m_number(number)
    { }

    [[nodiscard]] constexpr store_era era() const noexcept { return m_era; }
    [[nodiscard]] constexpr revision number() const noexcept { return m_number; }

    /** Returns whether both positions are of one era, so that isBefore() compares their revisions.
     */
    [[nodiscard]] constexpr bool isSameEra(const store_position &other) const noexcept
    {
        return m_era == other.m_era;
    }

    /** Returns whether this position is of the same era as another and precedes it. */
    [[nodiscard]] constexpr bool isBefore(const store_position &other) const noexcept
    {
        return isSameEra(other) && m_number < other.m_number;
    }

    friend constexpr bool operator==(const store_position &, const store_position &) = default;

private:
    store_era m_era;
    revision m_number;
};

} // namespace mustardcourse::store
