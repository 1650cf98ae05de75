#pragma once

#include <mustardcourse/store/store_position.h>

#include <cstdint>
#include <optional>

namespace mustardcourse::store {

/**
    Determines the era of the store from its responses, which can arrive out of order on several
    connections.

    An era that differs from the known one is newer if its number is higher, or if its call began
    after the known one was learned: the number is not trusted to rise. Otherwise the response was
    sent before the store was restored. Performs no I/O.
*/
class era_tracker
{
public:
    /** Position of a call in the order in which calls began. */
    using call_number = strong_value<struct call_number_tag, std::uint64_t>;

    enum class observation {
        /** The response is of the known era, or the first one. */
        Current,
        /** The response begins a new era, which is now the known one. */
        NewEra,
        /** The response is of an era that has ended. */
        Outdated,
    };

    /** Records that a call begins. */
    call_number beginCall() { return call_number(++m_lastCall); }

    /** Records the era that the response to a call reports. */
    observation observe(call_number call, store_era reported);

    /** Returns whether a response has reported an era. */
    [[nodiscard]] bool isKnown() const noexcept { return m_era.has_value(); }
    /** Returns the known era; zero before the first response. */
    [[nodiscard]] store_era era() const noexcept { return m_era.value_or(store_era()); }

private:
    std::optional<store_era> m_era;
    std::uint64_t m_lastCall = 0;
    /** The last call that had begun when the known era was learned. */
    std::uint64_t m_lastCallBeforeEra = 0;
};

} // namespace mustardcourse::store
