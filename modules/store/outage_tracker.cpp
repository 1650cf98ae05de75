#include <mustardcourse/store/outage_tracker.h>

#include <algorithm>

namespace mustardcourse::store {

void outage_tracker::recordFailure(time_point since)
{
    m_hasCallFailed = true;
    m_failingSince = std::min(m_failingSince.value_or(since), since);
}

void outage_tracker::recordResponse(time_point now)
{
    m_lastResponse = now;
    m_failingSince.reset();
    m_hasCallFailed = false;
}

} // namespace mustardcourse::store
