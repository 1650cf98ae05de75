#pragma once

#include <mustardcourse/http/client_pool.h>
#include <mustardcourse/net/loop.h>
#include <mustardcourse/serving/request_format.h>
#include <mustardcourse/serving/route_statistics.h>

#include <memory>
#include <vector>

namespace mustardcourse::serving {

/** Number of a request within one process. */
using query_number = std::uint64_t;

/** Why a shard is missing from an answer, for the log. */
enum class shard_gap { None, NoTarget, NoRoom, NoBudget, Exhausted, Late };

/** Returns the lower-case name of a gap, as it stands in a log line. */
std::string_view nameOf(shard_gap gap);

/** One shard of a request under way. */
struct query_shard
{
    service_id service;
    std::vector<instance_id> tried;
    std::optional<target_answer> answer;
    shard_gap gap = shard_gap::Late;
    /** Whether it waits for a target with room. */
    bool isWaiting = false;
};

/** One request under way, from its arrival to its response. */
struct query
{
    query(query_number queryNumber, caller_request received, scatter_parameters parameters)
        : number(queryNumber)
        , call(std::move(received))
        , progress(parameters)
    { }

    query_number number;
    caller_request call;
    scatter progress;
    std::unique_ptr<http::caller_exchange> exchange;
    configuration_pointer activeConfiguration;
    const route *matched = nullptr;
    std::shared_ptr<route_statistics> statistics;
    std::vector<query_shard> shards;
    /** The latest failure of a single target, which is passed on if nothing better comes. */
    std::optional<target_answer> failure;
    time_point deadline;
    /** When the first attempts were sent, and when second ones may run beside them. */
    time_point sentAt;
    hedge_window hedging;
    /** When second attempts are looked at next; never, if it is the greatest time. */
    time_point hedgeAt = time_point::max();
    /** When a refusal has to leave to be of use to the caller. */
    time_point refuseBy;
    /** Whether the caller tried before and the objective of that try has passed. */
    bool isLateTry = false;
    /** When shards that wait for a target with room are given up. */
    time_point waitUntil = time_point::max();
    std::size_t hedgeCount = 0;
    std::size_t retryCount = 0;
    std::unique_ptr<net::timer> timer;
    time_point wakeAt = time_point::max();
};

/** One attempt at a target; it may outlive its request. */
struct attempt
{
    /** The request that waits for it; zero once that has ended. */
    query_number owner = 0;
    std::size_t shard = 0;
    service_id service;
    instance_id instance;
    http::exchange_id exchange = 0;
    time_point sentAt;
    duration expected{0};
    bool isIdempotent = false;
    /** When it is cancelled after its request has ended. */
    time_point expiresAt = time_point::max();
    std::shared_ptr<route_statistics> statistics;
};

} // namespace mustardcourse::serving
