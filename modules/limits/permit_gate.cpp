#include <mustardcourse/limits/permit_gate.h>

#include <algorithm>
#include <cassert>

namespace mustardcourse::limits {

std::string_view nameOf(warmup_state state)
{
    switch (state) {
    case warmup_state::Cold:
        return "cold";
    case warmup_state::Warming:
        return "warming";
    case warmup_state::Warm:
        return "warm";
    }
    return "unknown";
}

permit_gate::permit_gate(permit_settings settings)
    : m_settings(settings)
    , m_limit(std::min(settings.coldPermits, settings.slots))
{
    assert(settings.slots > 0);
    assert(settings.coldPermits > 0);
    assert(settings.successesPerStep > 0);
}

bool permit_gate::tryAcquire()
{
    if (m_inUse >= m_limit)
        return false;
    ++m_inUse;
    return true;
}

void permit_gate::releaseAfterSuccess()
{
    release();
    if (m_limit >= m_settings.slots)
        return;
    ++m_successCount;
    if (m_successCount < m_settings.successesPerStep)
        return;
    m_successCount = 0;
    ++m_limit;
}

void permit_gate::releaseAfterFailure()
{
    release();
    resetToCold();
}

void permit_gate::release()
{
    assert(m_inUse > 0);
    --m_inUse;
}

void permit_gate::observeIncarnation(incarnation responseIncarnation)
{
    if (responseIncarnation <= m_incarnation)
        return;
    const bool isFirst = m_incarnation == incarnation();
    m_incarnation = responseIncarnation;
    if (!isFirst)
        resetToCold();
}

warmup_state permit_gate::state() const noexcept
{
    if (m_limit >= m_settings.slots)
        return warmup_state::Warm;
    return m_limit <= m_settings.coldPermits ? warmup_state::Cold : warmup_state::Warming;
}

void permit_gate::resetToCold()
{
    m_limit = std::min(m_settings.coldPermits, m_settings.slots);
    m_successCount = 0;
}

} // namespace mustardcourse::limits
