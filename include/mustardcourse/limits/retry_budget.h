#pragma once

#include <algorithm>
#include <cstddef>

namespace mustardcourse::limits {

/**
    Bounds the calls that a host adds to those its requests need.

    Each first call earns a fraction of a retry, and each retry spends a whole one, so that retries
    stay within that fraction of the load even when everything fails. A reserve lets an idle host
    retry at all. In any window the host adds at most the reserve and the fraction of the first
    calls in that window, so hosts that share one bound each take a part of its constant.
*/
class retry_budget
{
public:
    /** The reserve of a host that shares its bound with nobody. */
    static constexpr double ownReserve = 100;

    /**
        @param fraction  retries for each first call, from 0 to 1
        @param reserve   the most retries that may be saved up
        @param initial   the retries that are there at the start
    */
    explicit retry_budget(double fraction, double reserve = ownReserve, double initial = ownReserve)
        : m_fraction(fraction)
        , m_reserve(reserve)
        , m_tokens(std::min(initial, reserve))
    { }

    /** Sets the most retries that may be saved up. */
    void setReserve(double reserve)
    {
        m_reserve = reserve;
        m_tokens = std::min(m_tokens, reserve);
    }

    /** Notes first calls. */
    void earn(std::size_t calls)
    {
        m_tokens = std::min(m_tokens + m_fraction * static_cast<double>(calls), m_reserve);
    }

    /** Takes a retry if the budget allows one and keeps the given number for others. */
    bool trySpend(double kept = 0)
    {
        if (m_tokens < 1 + kept)
            return false;
        m_tokens -= 1;
        return true;
    }

    /** Gives back a retry that never reached its target. */
    void refund() { m_tokens = std::min(m_tokens + 1, m_reserve); }

    [[nodiscard]] double reserve() const noexcept { return m_reserve; }

private:
    double m_fraction;
    double m_reserve;
    double m_tokens;
};

} // namespace mustardcourse::limits
