#pragma once

#include <mustardcourse/core/clock.h>

#include <optional>

namespace mustardcourse::store {

/**
    Distinguishes outages of the store from calls that fail although the store serves, such as a
    watch whose connection is cut while it waits.

    An outage may have occurred if a call failed and no response arrived for minimumOutage, which
    includes the time for which a watch waited before it was cut. An outage is certain if calls
    have failed for minimumOutage without a response between them; this requires that a failed call
    is followed by one that a store which serves answers at once.
*/
class outage_tracker
{
public:
    /** @param minimumOutage  outages that are shorter do not keep the owner of a key from writing
                              it before the key expires */
    outage_tracker(duration minimumOutage, time_point now)
        : m_minimumOutage(minimumOutage)
        , m_lastResponse(now)
    { }

    /** Records that a call has failed which a store that serves answers at once.
        @param since  from when the store did not serve: when the call was made, or when a watch
                      that had been waiting failed */
    void recordFailure(time_point since);

    /** Records that another call has failed, which is not repeated at once. */
    void recordOtherFailure() { m_hasCallFailed = true; }

    /** Records a response, which ends an outage: afterwards none is possible or certain. */
    void recordResponse(time_point now);

    /** Returns whether a call that is repeated at once has failed since the last response. */
    [[nodiscard]] bool isFailing() const noexcept { return m_failingSince.has_value(); }

    /** Returns whether there may have been an outage since the last response. */
    [[nodiscard]] bool isPossible(time_point now) const
    {
        return m_hasCallFailed && silence(now) >= m_minimumOutage;
    }

    /** Returns whether the store is unavailable. */
    [[nodiscard]] bool isCertain(time_point now) const
    {
        return m_failingSince && now - *m_failingSince >= m_minimumOutage;
    }

    /** Returns the time since the last response. */
    [[nodiscard]] duration silence(time_point now) const { return now - m_lastResponse; }

private:
    duration m_minimumOutage;
    time_point m_lastResponse;
    /** First failure since the last response. */
    std::optional<time_point> m_failingSince;
    bool m_hasCallFailed = false;
};

} // namespace mustardcourse::store
