#include "home.h"

#include <mustardcourse/core/hash.h>

#include <fmt/format.h>

namespace mustardcourse::daemon {

using namespace requests;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds overloadRetryAfter{1000};
constexpr std::chrono::minutes unusedTargetTimeout{5};

std::string searchPath(const lookup_call &call, const shard_call &shardCall)
{
    const auto budget = std::chrono::duration_cast<std::chrono::microseconds>(call.budget);
    return fmt::format("/v1/search?service={}&shard={}&of={}&version={}&limit={}&budget_us={}"
                       "&id={}&q={}",
                       wire::escapeUri(call.service.value()), shardCall.shard.value(),
                       call.shardCount, call.version.value(), call.hitLimit, budget.count(),
                       wire::escapeUri(call.request.value()), wire::escapeUri(call.query));
}

shard_failure failureOf(const target_response &response)
{
    switch (response.outcome) {
    case target_outcome::QueueFull:
        return shard_failure::QueueFull;
    case target_outcome::Expired:
    case target_outcome::Lost:
        return shard_failure::TimedOut;
    case target_outcome::Unreachable:
        return shard_failure::Unreachable;
    case target_outcome::Malformed:
        return shard_failure::Malformed;
    case target_outcome::Answered:
        break;
    }
    switch (response.status) {
    case target_status::ok:
        return shard_failure::None;
    case target_status::versionGone:
        return shard_failure::VersionGone;
    case target_status::layoutChanged:
        return shard_failure::LayoutChanged;
    case target_status::shed:
        return shard_failure::Shed;
    case target_status::deadlinePassed:
        return shard_failure::TimedOut;
    default:
        return shard_failure::Malformed;
    }
}

/** Returns whether a response is for the request, shard and version of the call. */
bool matchesCall(const json &body, const lookup_call &call, const shard_call &shardCall)
{
    return body.value("id", "") == call.request.value()
        && body.value("version", std::uint64_t{0}) == call.version.value()
        && body.value("shard", ~std::uint32_t{0}) == shardCall.shard.value()
        && body.value("of", std::uint32_t{0}) == call.shardCount && body.contains("hits");
}

std::vector<hit> hitsFrom(const json &body)
{
    std::vector<hit> hits;
    for (const json &entry : body["hits"])
        hits.push_back(
            {entry.value("key", ""), entry.value("score", 0.0), entry.value("document", "")});
    return hits;
}

void fillReply(shard_reply &reply, const target_response &response, const lookup_call &call,
               const shard_call &shardCall)
{
    reply.failure = failureOf(response);
    if (reply.failure != shard_failure::None)
        return;
    try {
        if (!matchesCall(response.body, call, shardCall)) {
            reply.failure = shard_failure::Malformed;
            return;
        }
        reply.hits = hitsFrom(response.body);
    } catch (const json::exception &) {
        reply.hits.clear();
        reply.failure = shard_failure::Malformed;
    }
}

std::uint64_t contentHash(const execute_call &call)
{
    return stableHash(fmt::format("{}\n{}\n{}", call.service.value(), call.key, call.body));
}

execute_reply replyForExistingClaim(const claim_record &record, std::uint64_t hash)
{
    if (record.contentHash != hash)
        return {execute_outcome::Rejected, execute_reason::DifferentContent, "", {}};
    switch (record.state) {
    case claim_state::Done:
        return {execute_outcome::Done, execute_reason::AlreadyDone, record.result, {}};
    case claim_state::Rejected:
        return {execute_outcome::Rejected, execute_reason::RejectedByTarget, record.result, {}};
    case claim_state::Claimed:
        break;
    }
    return {execute_outcome::Unknown, execute_reason::EarlierResultUnknown, "", overloadRetryAfter};
}

execute_reply notRun(execute_reason reason)
{
    return {execute_outcome::NotRun, reason, "", overloadRetryAfter};
}

execute_reply replyFrom(const target_response &response)
{
    switch (response.outcome) {
    case target_outcome::QueueFull:
        return notRun(execute_reason::QueueFull);
    case target_outcome::Expired:
        return notRun(execute_reason::DeadlinePassed);
    case target_outcome::Unreachable:
        return notRun(execute_reason::TargetUnreachable);
    case target_outcome::Lost:
    case target_outcome::Malformed:
        return {execute_outcome::Unknown, execute_reason::AnswerLost, "", {}};
    case target_outcome::Answered:
        break;
    }
    if (response.status == target_status::ok)
        return {execute_outcome::Done, execute_reason::None, response.body.dump(), {}};
    if (response.status == target_status::shed)
        return notRun(execute_reason::TargetRefused);
    if (response.status == target_status::badRequest
        || response.status == target_status::layoutChanged)
        return {
            execute_outcome::Rejected, execute_reason::RejectedByTarget, response.body.dump(), {}};
    return {execute_outcome::Unknown, execute_reason::AnswerLost, "", {}};
}

execute_reason reasonFor(shard_failure refusal)
{
    return refusal == shard_failure::DataCentreOut ? execute_reason::DataCentreOut
                                                   : execute_reason::TargetLeaving;
}

} // namespace

home::home(wire::event_loop &loop, const clock &clock, metrics &metrics,
           const settings_view &settings, claim_ledger &claims, std::size_t queueCapacity)
    : m_loop(loop)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_claims(claims)
    , m_queueCapacity(queueCapacity)
{ }

target_client &home::clientOf(const registers::target_id &target,
                              const registers::target_capacity &capacity)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        found->second->markUsed();
        return *found->second;
    }
    auto client = std::make_unique<target_client>(m_loop, m_clock, m_metrics, target, capacity,
                                                  m_queueCapacity);
    return *m_targets.emplace(target, std::move(client)).first->second;
}

shard_failure home::refusalFor(const team_id &team, const shard_call &call,
                               const target_client &client) const
{
    if (m_settings.dataCentresOut(team).contains(call.replica.dataCentre))
        return shard_failure::DataCentreOut;
    if (client.isLeaving())
        return shard_failure::TargetLeaving;
    return shard_failure::None;
}

kj::Promise<lookup_reply> home::lookup(lookup_call call)
{
    const time_point deadline = m_clock.now() + call.budget;
    auto sharedCall = std::make_shared<const lookup_call>(std::move(call));
    auto replies = kj::heapArrayBuilder<kj::Promise<shard_reply>>(sharedCall->shards.size());
    for (const shard_call &shardCall : sharedCall->shards)
        replies.add(queryShard(*sharedCall, shardCall, deadline));
    return kj::joinPromises(replies.finish())
        .then([](kj::Array<shard_reply> &&shardReplies) {
            lookup_reply reply;
            for (shard_reply &shardReply : shardReplies) {
                reply.targetCalls += shardReply.failure == shard_failure::QueueFull
                        || shardReply.failure == shard_failure::DataCentreOut
                        || shardReply.failure == shard_failure::TargetLeaving
                    ? 0
                    : 1;
                reply.shards.push_back(std::move(shardReply));
            }
            return reply;
        })
        .attach(kj::heap(sharedCall));
}

kj::Promise<shard_reply> home::queryShard(const lookup_call &call, const shard_call &shardCall,
                                          time_point deadline)
{
    target_client &client = clientOf(shardCall.replica.target, call.capacity);
    shard_reply reply;
    reply.shard = shardCall.shard;
    reply.target = shardCall.replica.target;
    reply.failure = refusalFor(call.team, shardCall, client);
    if (reply.failure != shard_failure::None)
        return reply;

    target_request request;
    request.http.path = searchPath(call, shardCall);
    request.importance = call.importance;
    request.deadline = deadline;
    return client.send(std::move(request))
        .then([&call, &shardCall, &client,
               reply = std::move(reply)](target_response &&response) mutable {
            fillReply(reply, response, call, shardCall);
            if (client.hasVersionReport())
                reply.heldVersions = client.heldVersions();
            if (reply.failure == shard_failure::QueueFull || reply.failure == shard_failure::Shed)
                reply.retryAfter = overloadRetryAfter;
            return std::move(reply);
        });
}

kj::Promise<execute_reply> home::execute(execute_call call)
{
    const time_point deadline = m_clock.now() + call.budget;
    const target_client &client = clientOf(call.shard.replica.target, call.capacity);
    const shard_failure refusal = refusalFor(call.team, call.shard, client);
    if (refusal != shard_failure::None)
        return notRun(reasonFor(refusal));

    const std::uint64_t hash = contentHash(call);
    auto decisionPromise = m_claims.claim(call.request, hash, deadline);
    return decisionPromise.then(
        [this, call = std::move(call), hash,
         deadline](claim_decision &&decision) mutable -> kj::Promise<execute_reply> {
            switch (decision.outcome) {
            case claim_outcome::AlreadyClaimed:
                return replyForExistingClaim(decision.record, hash);
            case claim_outcome::Full:
                return notRun(execute_reason::ClaimsFull);
            case claim_outcome::Unavailable:
                return notRun(execute_reason::ClaimsUnavailable);
            case claim_outcome::Granted:
                break;
            }
            return executeClaimed(call, decision.owner, deadline);
        });
}

kj::Promise<execute_reply> home::executeClaimed(const execute_call &call, const std::string &owner,
                                                time_point deadline)
{
    target_client &client = clientOf(call.shard.replica.target, call.capacity);
    const json body{{"service", call.service.value()},
                    {"shard", call.shard.shard.value()},
                    {"of", call.shardCount},
                    {"id", call.request.value()},
                    {"key", call.key},
                    {"body", call.body}};
    target_request request;
    request.http.path = "/v1/execute";
    request.http.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    // A reused connection may have been broken without this host having noticed. A request lost on
    // it would have an unknown result.
    request.http.isReuseAllowed = false;
    request.importance = call.importance;
    request.deadline = deadline;
    return client.send(std::move(request))
        .then([this, request = call.request, owner](target_response &&response) {
            execute_reply reply = replyFrom(response);
            if (reply.outcome == execute_outcome::NotRun)
                m_claims.release(request, owner);
            if (reply.outcome == execute_outcome::Done)
                m_claims.finish(request, owner, claim_state::Done, reply.body);
            if (reply.outcome == execute_outcome::Rejected)
                m_claims.finish(request, owner, claim_state::Rejected, reply.body);
            return reply;
        });
}

kj::Promise<std::vector<held_versions>> home::describe(std::vector<registers::target_id> targets,
                                                       registers::target_capacity capacity)
{
    constexpr std::chrono::milliseconds statusTimeout{500};

    auto refreshes = kj::heapArrayBuilder<kj::Promise<void>>(targets.size());
    for (const registers::target_id &target : targets) {
        target_client &client = clientOf(target, capacity);
        refreshes.add(client.hasVersionReport() ? kj::Promise<void>(kj::READY_NOW)
                                                : client.refreshStatus(statusTimeout));
    }
    return kj::joinPromises(refreshes.finish())
        .then([this, targets = std::move(targets), capacity] {
            std::vector<held_versions> reports;
            for (const registers::target_id &target : targets) {
                const target_client &client = clientOf(target, capacity);
                reports.push_back(
                    {target, client.heldVersions(), client.hasVersionReport(), client.isLeaving()});
            }
            return reports;
        });
}

kj::Promise<void> home::refreshTargets(duration timeout)
{
    std::erase_if(m_targets, [&](const auto &entry) {
        const target_client &client = *entry.second;
        return client.gate().inUse() == 0 && client.queueLength() == 0
            && m_clock.now() - client.lastUsed() > unusedTargetTimeout;
    });
    auto refreshes = kj::heapArrayBuilder<kj::Promise<void>>(m_targets.size());
    for (const auto &[target, client] : m_targets)
        refreshes.add(client->refreshStatus(timeout));
    return kj::joinPromises(refreshes.finish());
}

std::vector<const target_client *> home::targets() const
{
    std::vector<const target_client *> clients;
    for (const auto &[target, client] : m_targets)
        clients.push_back(client.get());
    return clients;
}

} // namespace mustardcourse::daemon
