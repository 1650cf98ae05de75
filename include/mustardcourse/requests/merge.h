#pragma once

#include <mustardcourse/requests/messages.h>

#include <vector>

namespace mustardcourse::requests {

/**
    Merges the hits of several shards and keeps the best ones.

    Hits are sorted by descending score and then by key, so that the result does not depend on the
    order in which the shards answer.
*/
class hit_merger
{
public:
    explicit hit_merger(std::size_t limit);

    /** Adds the hits of one shard. */
    void add(std::vector<hit> hits);

    /** Returns the best hits in order and clears the merger. */
    std::vector<hit> take();

private:
    void trim();

    std::size_t m_limit;
    std::vector<hit> m_hits;
};

} // namespace mustardcourse::requests
