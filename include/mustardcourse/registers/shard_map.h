#pragma once

#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/core/ids.h>

#include <chrono>
#include <memory>
#include <vector>

namespace mustardcourse::registers {

/** Identifies a target by the address at which it serves requests. */
using target_id = endpoint;

/** One copy of a shard, held by a target. */
struct replica
{
    target_id target;
    data_centre_id dataCentre;

    friend bool operator==(const replica &, const replica &) = default;
};

/** The replicas of a shard, in the order of the settings. */
struct shard
{
    std::vector<replica> replicas;

    friend bool operator==(const shard &, const shard &) = default;
};

/** Capacity of each target of a service. */
struct target_capacity
{
    /** Maximum number of concurrent requests. */
    std::size_t slots = 1;
    /** Maximum number of connections. */
    std::size_t connections = 1;

    friend bool operator==(const target_capacity &, const target_capacity &) = default;
};

/**
    The partition of one service's register into shards, at one revision of the settings.

    A map is immutable. A query keeps the map that it started with, so that its answer cannot mix
    two partitions. @see snapshot
*/
class shard_map
{
public:
    shard_map(service_id service, team_id team, revision settingsRevision,
              std::vector<shard> shards, target_capacity capacity);

    [[nodiscard]] const service_id &service() const noexcept { return m_service; }
    [[nodiscard]] const team_id &team() const noexcept { return m_team; }
    [[nodiscard]] revision settingsRevision() const noexcept { return m_settingsRevision; }
    [[nodiscard]] std::size_t shardCount() const noexcept { return m_shards.size(); }
    [[nodiscard]] const shard &at(shard_index index) const;
    [[nodiscard]] const target_capacity &capacity() const noexcept { return m_capacity; }

    /** Returns one replica for each target, ordered by address. */
    [[nodiscard]] std::vector<replica> targets() const;

    /** Returns the shard of a key, which is the same on every host. */
    [[nodiscard]] shard_index shardOf(std::string_view key) const;

private:
    service_id m_service;
    team_id m_team;
    revision m_settingsRevision;
    std::vector<shard> m_shards;
    target_capacity m_capacity;
};

/** A shard map, shared by the queries that use it. */
using shard_map_pointer = std::shared_ptr<const shard_map>;

/** The shard map and index version that all shards of one answer have in common. */
struct snapshot
{
    shard_map_pointer map;
    index_version version;
};

} // namespace mustardcourse::registers
