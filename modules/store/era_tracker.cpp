#include <mustardcourse/store/era_tracker.h>

namespace mustardcourse::store {

era_tracker::observation era_tracker::observe(call_number call, store_era reported)
{
    if (reported == m_era)
        return observation::Current;
    const bool isFirst = !m_era;
    const bool isNewer = isFirst || reported > *m_era || call.value() > m_lastCallBeforeEra;
    if (!isNewer)
        return observation::Outdated;
    m_era = reported;
    m_lastCallBeforeEra = m_lastCall;
    return isFirst ? observation::Current : observation::NewEra;
}

} // namespace mustardcourse::store
