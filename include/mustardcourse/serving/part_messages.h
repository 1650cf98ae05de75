#pragma once

#include <mustardcourse/core/errors.h>
#include <mustardcourse/serving/query.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mustardcourse::serving {

/** Request target at which a host accepts parts of lookups. */
constexpr std::string_view partTarget = "/lookup-part";

/** Header field with the number that the sender gave to a part; the answer repeats it. */
constexpr std::string_view partNumberField = "Part-Number";

/** Status with which a gatherer acknowledges that it takes a part: 102 Processing. */
constexpr int partAcceptedStatus = 102;

/** When the steps of a part are due, on the clock of the host that holds this value. */
struct part_times
{
    /** Latest time at which a gatherer starts it; after that, another host does. */
    time_point start;
    /** Earliest time of a second attempt at a shard. Before it, a sender that hasn't read the
        acknowledgement may still give the part to another host. */
    time_point hedges;
    /** Latest time at which it is refused for lack of capacity. */
    time_point refusal;
    /** Time from which it is answered without its missing shards, if enough have answered. */
    time_point cutoff;
    /** Time at which it is answered or fails. */
    time_point end;
    /** Deadline that the targets are told. */
    time_point deadline;
};

/** A part of a lookup that a host asks another one to gather. */
struct part_request
{
    host_id sender;
    /** Version of the configuration that lists the shards. */
    configuration_version version;
    route_id routeName;
    std::shared_ptr<const caller_request> callerRequest;
    std::vector<service_id> shards;
    /** Number of shards of the whole lookup. */
    std::size_t shardCount = 0;
    std::size_t minimumAnswers = 1;
    /** Maximum number of targets that it may be sent to, per shard. */
    std::size_t maximumTargets = 1;
    std::size_t resultCount = 0;
    route_priority priority;
    std::chrono::milliseconds latencyObjective{0};
    /** Whether the caller's retry is too late for the objective of its first try. */
    bool isLateRetry = false;
    /** Whether another host may have gathered this part already. */
    bool isRepeated = false;
    part_times times;
};

enum class part_outcome {
    /** It has the answers of enough shards. */
    Answered,
    /** No target has run it, and none will. */
    NotRun,
    /** Targets may have run it, but too few shards have answered. */
    Failed,
    /** The gatherer doesn't take it. No target has run it. */
    Declined,
};

std::string_view nameOf(part_outcome outcome);

/** Why a gatherer declines a part. It is written to the log. */
enum class decline_reason {
    None,
    /** The gatherer stops, or has not read the store yet. */
    NotServing,
    /** The sender is not a member that the gatherer knows. */
    UnknownSender,
    /** The gatherer has an older configuration, or one without these shards. */
    OtherConfiguration,
    /** The part was read after the time at which it should have started. */
    Late,
    /** The gatherer has as many parts as it can gather in time. */
    Overloaded,
};

std::string_view nameOf(decline_reason reason);

/** A shard without an answer. */
struct missing_shard
{
    /** Its position in the list of the request. */
    std::size_t shard = 0;
    missing_shard_reason reason = missing_shard_reason::Late;

    friend bool operator==(const missing_shard &, const missing_shard &) = default;
};

/** The answers of the shards of a part. */
struct part_answer
{
    part_outcome outcome = part_outcome::Failed;
    decline_reason declineReason = decline_reason::None;
    /** When the caller of a part that was not run should come back. */
    duration retryAfter{0};
    std::vector<missing_shard> missing;
    combined_answers answers;
};

/** Reports a message between hosts that cannot be decoded. */
class malformed_part_error : public error
{
public:
    using error::error;
};

/** @param now  when the message is sent */
std::string encodePartRequest(const part_request &request, time_point now);

/**
    @param arrival  when the message arrived
    @throws malformed_part_error if it can't be decoded, or a number or time is out of range
*/
part_request decodePartRequest(std::string_view bytes, time_point arrival);

std::string encodePartAnswer(const part_answer &answer);

/**
    @param shardCount  number of shards of the part
    @throws malformed_part_error if it can't be decoded or names a shard that the part doesn't have
*/
part_answer decodePartAnswer(std::string_view bytes, std::size_t shardCount);

} // namespace mustardcourse::serving
