#include <mustardcourse/serving/query.h>

namespace mustardcourse::serving {

std::string_view nameOf(shard_gap gap)
{
    switch (gap) {
    case shard_gap::None:
        return "none";
    case shard_gap::NoTarget:
        return "no-target";
    case shard_gap::NoRoom:
        return "no-room";
    case shard_gap::NoBudget:
        return "no-budget";
    case shard_gap::Exhausted:
        return "exhausted";
    case shard_gap::Late:
        return "late";
    }
    return "unknown";
}

} // namespace mustardcourse::serving
