#include <mustardcourse/serving/query.h>

namespace mustardcourse::serving {

std::string_view nameOf(missing_shard_reason reason)
{
    switch (reason) {
    case missing_shard_reason::None:
        return "none";
    case missing_shard_reason::NoTarget:
        return "no-target";
    case missing_shard_reason::NoCapacity:
        return "no-room";
    case missing_shard_reason::OverLimit:
        return "over-limit";
    case missing_shard_reason::NoBudget:
        return "no-budget";
    case missing_shard_reason::Suspect:
        return "suspect";
    case missing_shard_reason::Exhausted:
        return "exhausted";
    case missing_shard_reason::Late:
        return "late";
    case missing_shard_reason::GathererLost:
        return "gatherer-lost";
    }
    return "unknown";
}

} // namespace mustardcourse::serving
