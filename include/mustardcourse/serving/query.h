#pragma once

#include <mustardcourse/http/client_pool.h>
#include <mustardcourse/net/loop.h>
#include <mustardcourse/serving/request_format.h>
#include <mustardcourse/serving/route_statistics.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace mustardcourse::serving {

/** Identifies a request within one process. */
using query_number = std::uint64_t;

/** Why an answer lacks a shard. It is written to the log. */
enum class missing_shard_reason {
    None,
    NoTarget,
    NoCapacity,
    /** The limits that its targets have named leave no turn to this host soon. */
    OverLimit,
    NoBudget,
    /** The request has ended too many targets. @see suspect_requests */
    Suspect,
    /** Its attempts failed, and no further one is allowed. */
    Exhausted,
    /** Its last attempt has not ended in time. */
    Late,
    /** The host that gathered it has ended or can't be reached. */
    GathererLost,
};

/** Returns the lower-case name of a reason for use in log lines. */
std::string_view nameOf(missing_shard_reason reason);

/** Identifies a part of a lookup within the process that sends it to another host. */
using part_number = strong_value<struct part_number_tag, std::uint64_t>;

struct part_answer;
using part_handler = std::function<void(part_answer &&)>;

/** A part of a lookup that another request gathers, at another host or at this one. */
struct delegated_part
{
    /** Positions of its shards in the lookup. */
    std::vector<std::size_t> shards;
    /** Set while it is at another host. */
    std::optional<part_number> sent{};
    /** The request of this host that gathers it; zero if there is none. */
    query_number ownQuery = 0;
};

/** What distinguishes a request that gathers a part of a lookup from one of a caller. */
struct gathered_part
{
    std::shared_ptr<const route> ownRoute;
    /** Number of shards of the whole lookup. */
    std::size_t lookupShardCount = 0;
    /** Whether another host may have gathered it already, so that it is not its first attempt. */
    bool isRepeated = false;
    part_handler onEnd;
};

/** The state of one shard of an active request. */
struct query_shard
{
    service_id service;
    std::vector<instance_id> triedTargets;
    std::optional<target_answer> answer;
    missing_shard_reason missingReason = missing_shard_reason::Late;
    bool isWaitingForCapacity = false;
};

/** A caller's request, or a part of a lookup, from its arrival to its response. */
struct active_query
{
    active_query(query_number queryNumber, std::shared_ptr<const caller_request> request,
                 const scatter_parameters &parameters)
        : number(queryNumber)
        , callerRequest(std::move(request))
        , progress(parameters)
    { }

    query_number number;
    /** Shared with attempts, which may outlive this request. */
    std::shared_ptr<const caller_request> callerRequest;
    scatter progress;
    /** Null for a part of a lookup. */
    std::unique_ptr<http::caller_exchange> exchange;
    time_point arrival;
    /** Set if this is a part of a lookup. */
    std::optional<gathered_part> part;
    /** The parts into which this lookup is divided; empty if this host sends it to the targets. */
    std::vector<delegated_part> parts;
    /** Whether the parts are being sent, so that the request must not end yet. */
    bool isDelegating = false;
    /** When its caller should come back if it is refused, according to its parts. */
    duration refusalDelay{0};
    configuration_pointer activeConfiguration;
    const route *matchedRoute = nullptr;
    std::shared_ptr<route_statistics> statistics;
    std::vector<query_shard> shards;
    /** The latest response of a single target that is a failure or may be truncated. It is
       forwarded if no attempt succeeds. */
    std::optional<target_answer> lastFailure;
    /** Lives of targets that left while they ran the request. */
    std::vector<target_life> endedTargets;
    time_point deadline;
    /** When the request started, even if its first attempts then waited for capacity; only set for
        requests that may be hedged. */
    time_point hedgeWindowStart;
    /** When hedged attempts may be sent, counted from hedgeWindowStart. */
    hedge_window hedgeWindow;
    /** When to try the next hedged attempt; time_point::max() stands for never. */
    time_point nextHedgeTime = time_point::max();
    /** Latest time at which a refusal still leaves the caller time to be served elsewhere. */
    time_point refusalDeadline;
    /** Whether this is a caller's retry that is too late for the objective of its first try. */
    bool isLateRetry = false;
    /** When the request or its shards stop waiting for capacity. */
    time_point waitUntil = time_point::max();
    std::size_t hedgeCount = 0;
    std::size_t retryCount = 0;
    std::unique_ptr<net::timer> timer;
    time_point nextWakeUp = time_point::max();
};

/** One attempt at a target. It may outlive its request. */
struct attempt
{
    /** The request that waits for it; zero if that has ended. */
    query_number queryNumber = 0;
    std::size_t shardIndex = 0;
    service_id service;
    instance_id instance;
    http::exchange_id exchange = 0;
    time_point sentAt;
    /** Baseline for the latency of this attempt. @see target::recordOutcome */
    duration baselineLatency{0};
    bool isIdempotent = false;
    /** The request that it sends, and the life of the target that gets it. */
    request_fingerprint fingerprint;
    target_life life;
    /** Whether its request had got an answer of a target when it ended before this attempt. */
    bool wasRequestAnswered = false;
    /** Whether it is the test of a suspect request. @see suspect_requests */
    bool isTest = false;
    /** Whether the target ended the connection before it sent any of an answer. */
    bool hasTargetLeft = false;
    /** Why its connection ended, if the attempt ended with it. */
    std::optional<net::stream_end_reason> connectionEnd;
    /** When to cancel it; set once its request has ended. */
    time_point cancelAt = time_point::max();
    std::shared_ptr<route_statistics> statistics;
};

} // namespace mustardcourse::serving
