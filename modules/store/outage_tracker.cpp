#include <mustardcourse/store/outage_tracker.h>

namespace mustardcourse::store {

void outage_tracker::recordFailure(time_point now)
{
    m_hasCallFailed = true;
    if (!m_failingSince)
        m_failingSince = now;
}

void outage_tracker::recordResponse(time_point now)
{
    m_lastResponse = now;
    m_failingSince.reset();
    m_hasCallFailed = false;
}

} // namespace mustardcourse::store
