#include <mustardcourse/requests/merge.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace mustardcourse::requests {

namespace {

bool ranksBefore(const hit &left, const hit &right)
{
    if (left.score != right.score)
        return left.score > right.score;
    return left.key < right.key;
}

} // namespace

hit_merger::hit_merger(std::size_t limit)
    : m_limit(limit)
{
    assert(limit > 0);
}

void hit_merger::add(std::vector<hit> hits)
{
    constexpr std::size_t trimFactor = 4;

    std::move(hits.begin(), hits.end(), std::back_inserter(m_hits));
    if (m_hits.size() > trimFactor * m_limit)
        trim();
}

void hit_merger::trim()
{
    const std::size_t keptCount = std::min(m_limit, m_hits.size());
    const auto end = m_hits.begin() + static_cast<std::ptrdiff_t>(keptCount);
    std::partial_sort(m_hits.begin(), end, m_hits.end(), ranksBefore);
    m_hits.erase(end, m_hits.end());
}

std::vector<hit> hit_merger::take()
{
    trim();
    return std::exchange(m_hits, {});
}

} // namespace mustardcourse::requests
