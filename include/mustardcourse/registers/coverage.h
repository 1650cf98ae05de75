#pragma once

#include <mustardcourse/registers/shard_map.h>

#include <vector>

namespace mustardcourse::registers {

/**
    The set of shards of one snapshot that have answered.

    A shard counts once, however often it answers. @see snapshot
*/
class coverage
{
public:
    explicit coverage(std::size_t shardCount)
        : m_isAnswered(shardCount, false)
    { }

    /** Records the answer of a shard. @returns false if the shard was recorded before */
    bool record(shard_index index);

    /** Returns whether a shard has answered. */
    [[nodiscard]] bool contains(shard_index index) const { return m_isAnswered.at(index.value()); }

    [[nodiscard]] std::size_t answeredCount() const noexcept { return m_answeredCount; }
    [[nodiscard]] std::size_t expectedCount() const noexcept { return m_isAnswered.size(); }
    [[nodiscard]] bool isComplete() const noexcept
    {
        return m_answeredCount == m_isAnswered.size();
    }

    /** Returns the shards without an answer, in ascending order. */
    [[nodiscard]] std::vector<shard_index> missingShards() const;

private:
    std::vector<bool> m_isAnswered;
    std::size_t m_answeredCount = 0;
};

} // namespace mustardcourse::registers
