#pragma once

#include <mustardcourse/http/caller_server.h>
#include <mustardcourse/http/message.h>
#include <mustardcourse/serving/scatter.h>
#include <mustardcourse/serving/suspect_requests.h>
#include <mustardcourse/serving/target_directory.h>

#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace mustardcourse::serving {

/** A caller's request, independent of the message format. */
struct caller_request
{
    request_id id;
    request_fingerprint fingerprint;
    std::string hostName;
    /** How long the caller waits, if the request states it. */
    std::optional<std::chrono::milliseconds> deadline;
    /** Start line and header fields of every attempt; the format adds fields for each attempt. */
    std::string forwardedHead;
    std::string body;
    /** Whether the response may have a body; false for a HEAD request. */
    bool isResponseBodyExpected = true;
};

/** A target's answer, independent of the message format. */
struct target_answer
{
    attempt_outcome outcome = attempt_outcome::Lost;
    /** Whether the caller may be sent the response, as it is, if no other is had: it comes from
        the target, and does not state that a request that may have run has not. */
    bool isForwardable = false;
    /** Whether it comes from a different instance than the request was meant for. */
    bool isFromOtherInstance = false;
    /** Signature of the target, which proves the origin of the answer; forwarded to the caller. */
    std::string signature;
    std::optional<reported_load> load;
    /** Whether the target reports that it leaves. */
    bool isTargetLeaving = false;
    /** How long the target wants no further request from this host. */
    std::optional<duration> requestedPause;
    /** The text of a requested pause that is invalid or too long; empty if there is none. */
    std::string invalidPause;
    /** Requests a second that the target takes from all hosts together; nothing if it names no
        limit. */
    std::optional<double> namedLimit;
    /** The text of a limit that is not a number, if any. */
    std::optional<std::string> invalidLimit;
    http::response response;
};

/** The answers of several shards in one. */
struct combined_answers
{
    /** Number of shards that have answered. */
    std::size_t shardCount = 0;
    /** Their signatures, in the form in which they are sent to the caller. */
    std::string signatures;
    /** The greatest of their records, the greatest first. */
    std::string records;
};

/** Why a request ended without a usable answer. */
enum class request_failure {
    /** The request lacks a mandatory field. */
    BadRequest,
    /** No route matches. */
    NoRoute,
    /** No target has run it, and none will. */
    NotRun,
    /** It may have run, and the targets failed. */
    TargetsFailed,
    /** It may have run, and its deadline has passed. */
    TimedOut,
};

/**
    Translates between the messages of a deployment and the types of the request path.

    readCallerRequest() returns nothing if the request lacks a mandatory field. combineAnswers()
    takes the answers and the maximum number of records to return; a combined answer can be combined
    with others again, as the answer of one target. mergeAnswers() takes the number of missing
   shards as well.
*/
template <typename Format>
concept request_format = requires(const Format &format, const http::request &received,
                                  const caller_request &request, const instance_id &instance,
                                  std::chrono::milliseconds remainingTime,
                                  http::response &&response,
                                  std::vector<const target_answer *> &answers, std::size_t count,
                                  request_failure reason, duration retryAfter)
{
    {
        format.readCallerRequest(received)
        } -> std::same_as<std::optional<caller_request>>;
    {
        format.formatRequest(request, instance, remainingTime)
        } -> std::same_as<std::string>;
    {
        format.matchesRequest(request.id, response)
        } -> std::same_as<bool>;
    {
        format.readAnswer(std::move(response))
        } -> std::same_as<target_answer>;
    {
        format.combineAnswers(answers, count)
        } -> std::same_as<combined_answers>;
    {
        format.mergeAnswers(answers, count, count)
        } -> std::same_as<http::reply>;
    {
        format.formatAnswer(std::move(response))
        } -> std::same_as<http::reply>;
    {
        format.formatFailure(reason, retryAfter)
        } -> std::same_as<http::reply>;
};

} // namespace mustardcourse::serving
