#pragma once

#include <mustardcourse/core/clock.h>

#include <algorithm>
#include <utility>

namespace mustardcourse {

/** Delays between the attempts of a call that fails, which double up to a maximum. */
class retry_backoff
{
public:
    retry_backoff(duration initialDelay, duration maximumDelay)
        : m_initialDelay(initialDelay)
        , m_maximumDelay(maximumDelay)
        , m_nextDelay(initialDelay)
    { }

    /** Returns the delay before the next attempt. */
    [[nodiscard]] duration next()
    {
        return std::exchange(m_nextDelay, std::min(2 * m_nextDelay, m_maximumDelay));
    }

    /** Begins again with the initial delay, after an attempt that succeeded. */
    void reset() { m_nextDelay = m_initialDelay; }

private:
    duration m_initialDelay;
    duration m_maximumDelay;
    duration m_nextDelay;
};

} // namespace mustardcourse
