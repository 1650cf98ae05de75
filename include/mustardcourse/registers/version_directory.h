#pragma once

#include <mustardcourse/registers/shard_map.h>

#include <map>
#include <vector>

namespace mustardcourse::registers {

/**
    The index versions that each target has reported to hold.

    An entry uses it to choose the version to pin before a fan-out. Its contents may be out of date:
    a target that has dropped the pinned version reports this in its response, and the directory is
    updated.
*/
class version_directory
{
public:
    /** Replaces the versions of a target. */
    void setHeldVersions(const target_id &target, std::vector<index_version> versions);

    /** Removes the targets without versions, so that they are queried again. */
    void removeEmpty();

    /** Returns whether the directory has a report of the target. */
    [[nodiscard]] bool hasReport(const target_id &target) const;

    /** Returns whether the target has reported a version. */
    [[nodiscard]] bool holds(const target_id &target, index_version version) const;

    /**
        Returns the version that is available on the largest number of shards, the newest one if
        several are, or zero if no target of the map has reported a version.
    */
    [[nodiscard]] index_version choose(const shard_map &map) const;

private:
    [[nodiscard]] std::size_t countShardsWith(const shard_map &map, index_version version) const;

    std::map<target_id, std::vector<index_version>> m_heldVersions;
};

} // namespace mustardcourse::registers
