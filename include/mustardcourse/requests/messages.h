#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/ids.h>
#include <mustardcourse/limits/customer_class.h>
#include <mustardcourse/registers/shard_map.h>

#include <string>
#include <vector>

namespace mustardcourse::requests {

/** One result of a search. */
struct hit
{
    std::string key;
    double score = 0;
    std::string document;

    friend bool operator==(const hit &, const hit &) = default;
};

/** One shard that a home is asked for, and the replica to ask. */
struct shard_call
{
    shard_index shard;
    registers::replica replica;
};

/** All shards of one lookup that one home serves. */
struct lookup_call
{
    service_id service;
    team_id team;
    request_id request;
    std::string query;
    limits::customer_class importance = limits::customer_class::Normal;
    index_version version;
    std::uint32_t shardCount = 0;
    std::uint32_t hitLimit = 0;
    /** Time left for the whole lookup. */
    duration budget{};
    registers::target_capacity capacity;
    std::vector<shard_call> shards;
};

/** Why a shard has no answer. The values are those of the wire schema. */
enum class shard_failure : std::uint8_t {
    None,
    Unreachable,
    TimedOut,
    Shed,
    VersionGone,
    LayoutChanged,
    Malformed,
    QueueFull,
    TargetLeaving,
    DataCentreOut,
    NotServed,
};

/** Returns the name of a failure for logs, metrics and answers. */
std::string_view nameOf(shard_failure failure);

/** The answer of one shard, or why there is none. */
struct shard_reply
{
    shard_index shard;
    registers::target_id target;
    shard_failure failure = shard_failure::None;
    std::vector<index_version> heldVersions;
    std::vector<hit> hits;
    std::chrono::milliseconds retryAfter{};
};

/** The answers of all shards of a lookup_call. */
struct lookup_reply
{
    std::vector<shard_reply> shards;
    /** Exchanges with targets that the call has cost. */
    std::uint32_t targetCalls = 0;
};

/** A non-idempotent request on its way to the one target that may run it. */
struct execute_call
{
    service_id service;
    team_id team;
    request_id request;
    std::string key;
    std::string body;
    limits::customer_class importance = limits::customer_class::Normal;
    shard_call shard;
    std::uint32_t shardCount = 0;
    duration budget{};
    registers::target_capacity capacity;
};

/** What became of a non-idempotent request. The values are those of the wire schema. */
enum class execute_outcome : std::uint8_t {
    /** It ran; the body holds its result. */
    Done,
    /** It did not run and will not; it may be sent again. */
    NotRun,
    /** Whether it ran cannot be told. It is not sent again. */
    Unknown,
    /** It was refused for what it says and did not run; sending it again does not help. */
    Rejected,
};

/** Returns the name of an outcome, as it stands in answers to callers. */
std::string_view nameOf(execute_outcome outcome);

/** Why a non-idempotent request ended as it did. */
enum class execute_reason {
    None,
    AlreadyDone,
    EarlierResultUnknown,
    DifferentContent,
    TooOld,
    ClaimsUnavailable,
    ClaimsFull,
    TargetRefused,
    TargetUnreachable,
    AnswerLost,
    QueueFull,
    TargetLeaving,
    DataCentreOut,
    HomeUnreachable,
    DeadlinePassed,
    RejectedByTarget,
    Overloaded,
    UnknownService,
};

/** Returns the name of a reason, as it stands in answers to callers. */
std::string_view nameOf(execute_reason reason);

/** Returns the reason of that name; None for any other text. */
execute_reason executeReasonFromName(std::string_view name);

/** The answer to an execute_call. */
struct execute_reply
{
    execute_outcome outcome = execute_outcome::NotRun;
    execute_reason reason = execute_reason::None;
    std::string body;
    std::chrono::milliseconds retryAfter{};
};

} // namespace mustardcourse::requests
