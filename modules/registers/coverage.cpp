#include <mustardcourse/registers/coverage.h>

namespace mustardcourse::registers {

bool coverage::record(shard_index index)
{
    if (m_isAnswered.at(index.value()))
        return false;
    m_isAnswered[index.value()] = true;
    ++m_answeredCount;
    return true;
}

std::vector<shard_index> coverage::missingShards() const
{
    std::vector<shard_index> shards;
    for (std::uint32_t index = 0; index < m_isAnswered.size(); ++index) {
        if (!m_isAnswered[index])
            shards.emplace_back(index);
    }
    return shards;
}

} // namespace mustardcourse::registers
