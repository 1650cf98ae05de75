#pragma once

#include <mustardcourse/registers/shard_map.h>

#include <map>
#include <vector>

namespace mustardcourse::registers {

/**
    The index versions that targets have reported to hold.

    An entry asks it which version to pin before a fan-out. Knowledge may be old: a target that has
    dropped the pinned version says so, and the report corrects the directory.
*/
class version_directory
{
public:
    /** Replaces what is known of a target. */
    void setHeldVersions(const target_id &target, std::vector<index_version> held);

    /** Drops the targets that are known to hold nothing, so that they are asked again. */
    void removeEmpty();

    /** Returns whether the target has reported. */
    [[nodiscard]] bool hasReport(const target_id &target) const;

    /** Returns whether the target is known to hold a version. */
    [[nodiscard]] bool holds(const target_id &target, index_version version) const;

    /**
        Returns the version that the most shards can answer from; of equals, the newest. Zero
        stands for no known version.
    */
    [[nodiscard]] index_version choose(const shard_map &map) const;

private:
    [[nodiscard]] std::size_t shardsHolding(const shard_map &map, index_version version) const;

    std::map<target_id, std::vector<index_version>> m_held;
};

} // namespace mustardcourse::registers
