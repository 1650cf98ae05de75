#pragma once

#include <algorithm>
#include <cstddef>

namespace mustardcourse::limits {

/**
    Token bucket that limits the additional calls of a host: retries and hedges.

    Each first call adds a fraction of a token and each additional call takes a whole one, so that
    additional calls stay within that fraction of the load even when every call fails. The tokens
    saved up, at most the reserve, let a host with little load retry too. In any time window the
    number of additional calls is at most the reserve plus the fraction of the first calls in that
    window, so hosts that share one limit each get a share of the reserve.
*/
class retry_budget
{
public:
    /** Reserve of a host that shares its limit with no other. */
    static constexpr double unsharedReserve = 100;

    /**
        @param fraction  tokens that each first call adds, from 0 to 1
        @param reserve   maximum number of tokens
        @param initial   number of tokens at the start, capped at the reserve
    */
    explicit retry_budget(double fraction, double reserve = unsharedReserve,
                          double initial = unsharedReserve)
        : m_fraction(fraction)
        , m_reserve(reserve)
        , m_tokens(std::min(initial, reserve))
    { }

    /** Sets the maximum number of tokens and drops those above it. */
    void setReserve(double reserve)
    {
        m_reserve = reserve;
        m_tokens = std::min(m_tokens, reserve);
    }

    /** Sets the fraction of a token that each first call adds, from 0 to 1. */
    void setFraction(double fraction) { m_fraction = fraction; }

    /** Adds the tokens for a number of first calls. */
    void earn(std::size_t calls)
    {
        m_tokens = std::min(m_tokens + m_fraction * static_cast<double>(calls), m_reserve);
    }

    /**
        Takes a token for an additional call if at least keptTokens remain for other calls.

        @returns whether a token was taken
    */
    bool trySpend(double keptTokens = 0)
    {
        if (m_tokens < 1 + keptTokens)
            return false;
        m_tokens -= 1;
        return true;
    }

    /** Returns the token of an additional call that did not reach its target. */
    void refund() { m_tokens = std::min(m_tokens + 1, m_reserve); }

    [[nodiscard]] double reserve() const noexcept { return m_reserve; }

private:
    double m_fraction;
    double m_reserve;
    double m_tokens;
};

} // namespace mustardcourse::limits
