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

/** A shard to query, and the replica to which its request is sent. */
struct shard_call
{
    shard_index shard;
    registers::replica replica;
};

/** The part of a lookup sent to one home: the shards whose chosen targets have that home. */
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
    /** Time remaining for the whole lookup. */
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

/** Returns the name of a failure, as it appears in logs, metrics and answers. */
std::string_view nameOf(shard_failure failure);

/** The answer of one shard, or the reason why there is none. */
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
    /** Number of exchanges with targets for the call. */
    std::uint32_t targetCalls = 0;
};

/** A non-idempotent request that is forwarded to the only target that may run it. */
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

/** Outcome of a non-idempotent request. The values are those of the wire schema. */
enum class execute_outcome : std::uint8_t {
    /** The request ran; the body contains its result. */
    Done,
    /** The request did not run and will not run; it can be sent again. */
    NotRun,
    /** It cannot be determined whether the request ran. It is not sent again. */
    Unknown,
    /** The request was rejected because of its content and did not run; a retry cannot succeed. */
    Rejected,
};

/** Returns the name of an outcome, as it appears in answers to callers. */
std::string_view nameOf(execute_outcome outcome);

/** Reason for the outcome of a non-idempotent request. */
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

/** Returns the name of a reason, as it appears in answers to callers. */
std::string_view nameOf(execute_reason reason);

/** Returns the reason with the given name, or execute_reason::None for an unknown name. */
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
