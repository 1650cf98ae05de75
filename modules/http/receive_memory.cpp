#include <mustardcourse/http/receive_memory.h>

#include <algorithm>

namespace mustardcourse::http {

bool receive_memory::share::resize(std::size_t bytes) noexcept
{
    if (m_memory == nullptr || bytes == m_bytes)
        return true;
    receive_memory &all = *m_memory;
    const bool isNewHolder = m_bytes == 0;
    const std::size_t holderCount = all.m_holderCount + (isNewHolder ? 1 : 0);
    const std::size_t heldBytes = all.m_heldBytes - m_bytes + bytes;
    const bool isOverEvenShare = bytes > all.m_limitBytes / holderCount;
    const bool isOverLimit = heldBytes > (isOverEvenShare ? 1 : 2) * all.m_limitBytes;
    if (bytes > m_bytes && isOverLimit) {
        ++all.m_refusedCount;
        return false;
    }
    all.m_heldBytes = heldBytes;
    all.m_peakBytes = std::max(all.m_peakBytes, heldBytes);
    all.m_holderCount = holderCount - (bytes == 0 ? 1 : 0);
    m_bytes = bytes;
    return true;
}

void receive_memory::share::release() noexcept
{
    static_cast<void>(resize(0));
}

} // namespace mustardcourse::http
