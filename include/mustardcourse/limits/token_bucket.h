#pragma once

#include <mustardcourse/core/clock.h>

#include <algorithm>

namespace mustardcourse::limits {

/**
    Limits the rate of something that is counted, for example requests or bytes.

    In any time window the amount is at most the rate times the window plus the capacity.
*/
class token_bucket
{
public:
    /** Starts full. @param capacity  amount that may be spent at once after a pause */
    token_bucket(double ratePerSecond, double capacity, time_point now)
        : m_ratePerSecond(ratePerSecond)
        , m_capacity(capacity)
        , m_tokens(capacity)
        , m_refilledAt(now)
    { }

    /** Spends an amount if there is that much. @returns whether it was spent */
    bool trySpend(double amount, time_point now)
    {
        refill(now);
        if (m_tokens < amount)
            return false;
        m_tokens -= amount;
        return true;
    }

private:
    void refill(time_point now)
    {
        const std::chrono::duration<double> elapsed = now - m_refilledAt;
        m_tokens = std::min(m_tokens + m_ratePerSecond * elapsed.count(), m_capacity);
        m_refilledAt = now;
    }

    double m_ratePerSecond;
    double m_capacity;
    double m_tokens;
    time_point m_refilledAt;
};

} // namespace mustardcourse::limits
