#pragma once

// Definitions of query_service; include query_service.h instead.
// Lookups whose shards are gathered in parts, by this host or by others.

#include <mustardcourse/serving/query_service.h>

namespace mustardcourse::serving {

template <request_format Format>
void query_service<Format>::setGatherers(std::vector<gatherer> members)
{
    m_environment.gathering.setMembers(std::move(members));
    m_dispatcher.retainOnly(m_environment.gathering);
}

template <request_format Format>
bool query_service<Format>::delegate(active_query &query)
{
    if (!query.matchedRoute->queriesAllShards())
        return false;
    const std::vector<lookup_part> &parts = m_environment.gathering.partsFor(query.shards.size());
    if (parts.empty())
        return false;
    for (const lookup_part &part : parts) {
        query.parts.push_back({.shards = part.shards});
        for (const std::size_t shard : part.shards)
            query.progress.recordSent(shard);
    }
    query.isDelegating = true;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        const auto onEnd = [this, number = query.number, index](part_result &&result) {
            onPartEnd(number, index, std::move(result));
        };
        query.parts[index].sent =
            m_dispatcher.send(parts[index].hosts, makePartRequest(query, index), onEnd);
        if (!query.parts[index].sent)
            gatherPart(query, index, false);
    }
    query.isDelegating = false;
    return true;
}

template <request_format Format>
part_request query_service<Format>::makePartRequest(const active_query &query,
                                                    std::size_t index) const
{
    const scatter_parameters &parameters = query.progress.parameters();
    const delegated_part &part = query.parts[index];
    // The answers that the whole lookup may lack can all be of one part.
    const std::size_t allowedMissing = parameters.shardCount - parameters.minimumAnswers;
    part_request request;
    request.sender = m_environment.gathering.ownHost().host;
    request.version = query.activeConfiguration->version();
    request.routeName = query.matchedRoute->name;
    request.callerRequest = query.callerRequest;
    for (const std::size_t shard : part.shards)
        request.shards.push_back(query.shards[shard].service);
    request.shardCount = query.shards.size();
    request.minimumAnswers = part.shards.size() - std::min(allowedMissing, part.shards.size() - 1);
    request.maximumTargets = parameters.maximumTargets;
    request.resultCount = query.matchedRoute->resultCount;
    request.priority = query.matchedRoute->priority;
    request.latencyObjective = query.matchedRoute->latencyObjective;
    request.isLateRetry = query.isLateRetry;
    request.times.refusal = query.refusalDeadline - m_settings.partReturnTime;
    request.times.cutoff = parameters.cutoff - m_settings.partReturnTime;
    request.times.end = parameters.end - m_settings.partReturnTime;
    request.times.deadline = query.deadline;
    return request;
}

template <request_format Format>
void query_service<Format>::gatherPart(active_query &query, std::size_t index, bool isRepeated)
{
    part_request request = makePartRequest(query, index);
    request.isRepeated = isRepeated;
    if (isRepeated)
        request.maximumTargets = 1;
    const query_number number = ++m_lastQueryNumber;
    query.parts[index].ownQuery = number;
    startPart(number, request, [this, parent = query.number, index](part_answer &&answer) {
        onPartAnswer(parent, index, answer);
    });
}

template <request_format Format>
void query_service<Format>::onPartEnd(query_number number, std::size_t index, part_result &&result)
{
    const auto found = m_queries.find(number);
    if (found == m_queries.end())
        return;
    active_query &query = *found->second;
    query.parts[index].sent.reset();
    switch (result.end) {
    case part_end::Answered:
        return onPartAnswer(number, index, result.answer);
    case part_end::Untaken:
        return gatherPart(query, index, result.mayHaveRun);
    case part_end::Lost:
        break;
    }
    for (const std::size_t shard : query.parts[index].shards) {
        query.progress.recordOutcome(shard, attempt_outcome::Lost);
        query.progress.giveUp(shard);
        query.shards[shard].missingReason = missing_shard_reason::GathererLost;
    }
    finishOrSchedule(query);
}

template <request_format Format>
void query_service<Format>::onPartAnswer(query_number number, std::size_t index,
                                         part_answer &answer)
{
    const auto found = m_queries.find(number);
    if (found == m_queries.end())
        return;
    active_query &query = *found->second;
    recordPart(query, query.parts[index], answer);
    if (!query.isDelegating)
        finishOrSchedule(query);
}

template <request_format Format>
void query_service<Format>::recordPart(active_query &query, const delegated_part &part,
                                       part_answer &answer)
{
    const bool isAnswered = answer.outcome == part_outcome::Answered;
    const attempt_outcome missingOutcome =
        answer.outcome == part_outcome::NotRun ? attempt_outcome::NotRun : attempt_outcome::Lost;
    std::vector<missing_shard_reason> reasons(part.shards.size(), missing_shard_reason::None);
    for (const missing_shard &missing : answer.missing)
        reasons[missing.shard] = missing.reason;
    query.refusalDelay = std::max(query.refusalDelay, answer.retryAfter);
    // The answers of a part are one answer, which the first of its shards holds.
    query_shard *holder = nullptr;
    for (std::size_t i = 0; i < part.shards.size(); ++i) {
        query_shard &shard = query.shards[part.shards[i]];
        shard.missingReason = reasons[i];
        if (isAnswered && reasons[i] == missing_shard_reason::None) {
            query.progress.recordOutcome(part.shards[i], attempt_outcome::Answered);
            holder = holder == nullptr ? &shard : holder;
            continue;
        }
        if (reasons[i] == missing_shard_reason::None)
            shard.missingReason = missing_shard_reason::Late;
        query.progress.recordOutcome(part.shards[i], missingOutcome);
        query.progress.giveUp(part.shards[i]);
    }
    if (holder == nullptr)
        return;
    holder->answer.emplace();
    holder->answer->outcome = attempt_outcome::Answered;
    holder->answer->signature = std::move(answer.answers.signatures);
    holder->answer->response.body = std::move(answer.answers.records);
}

template <request_format Format>
void query_service<Format>::servePart(std::unique_ptr<http::caller_exchange> exchange)
{
    const http::request &received = exchange->receivedRequest();
    const std::string number(
        http::findHeader(received.headers, partNumberField).value_or(std::string_view()));
    const auto respond = [number](http::caller_exchange &sender, int status,
                                  const std::string &body) {
        http::reply reply;
        reply.status = status;
        reply.headers.push_back({std::string(partNumberField), number});
        reply.body = body;
        sender.respond(reply);
    };
    part_request request;
    try {
        request = decodePartRequest(received.body, exchange->arrival());
    } catch (const malformed_part_error &failure) {
        m_environment.log.writeRateLimited("part-malformed", {{"reason", failure.what()}});
        return respond(*exchange, 400, "");
    }
    const decline_reason reason = declineReasonFor(request);
    if (reason != decline_reason::None) {
        m_environment.metrics.countGatheredPart("declined");
        part_answer declined;
        declined.outcome = part_outcome::Declined;
        declined.declineReason = reason;
        return respond(*exchange, 200, encodePartAnswer(declined));
    }
    exchange->sendInterim(partAcceptedStatus, {{std::string(partNumberField), number}});
    const query_number query = ++m_lastQueryNumber;
    exchange->onDisconnect([this, query] { onCallerDisconnect(query); });
    const std::shared_ptr<http::caller_exchange> sender = std::move(exchange);
    startPart(query, request, [sender, respond](part_answer &&answer) {
        respond(*sender, 200, encodePartAnswer(answer));
    });
}

template <request_format Format>
decline_reason query_service<Format>::declineReasonFor(const part_request &request)
{
    const bool isStopping = m_serviceEnd.isOver || m_serviceEnd.end != time_point::max();
    if (!m_isOpen || isStopping || !m_configuration)
        return decline_reason::NotServing;
    if (!m_environment.gathering.isMember(request.sender))
        return decline_reason::UnknownSender;
    const bool isKnown =
        std::all_of(request.shards.begin(), request.shards.end(), [&](const service_id &shard) {
            return m_configuration->findService(shard) != nullptr;
        });
    if (m_configuration->version() < request.version || !isKnown)
        return decline_reason::OtherConfiguration;
    if (m_environment.time.now() > request.times.start)
        return decline_reason::Late;
    const double cores = m_environment.gathering.ownHost().cores.value();
    const double maximumParts =
        std::max(query_details::maximumPartsPerCore * cores, query_details::minimumMaximumParts);
    if (static_cast<double>(m_partCount) >= maximumParts)
        return decline_reason::Overloaded;
    return decline_reason::None;
}

template <request_format Format>
void query_service<Format>::startPart(query_number number, const part_request &request,
                                      part_handler onEnd)
{
    auto partRoute = std::make_shared<route>();
    partRoute->name = request.routeName;
    partRoute->isIdempotent = true;
    partRoute->latencyObjective = request.latencyObjective;
    partRoute->maximumTargets = request.maximumTargets;
    partRoute->priority = request.priority;
    partRoute->shards = request.shards;
    partRoute->resultCount = request.resultCount;
    scatter_parameters parameters;
    parameters.shardCount = request.shards.size();
    parameters.minimumAnswers = request.minimumAnswers;
    parameters.maximumTargets = request.maximumTargets;
    parameters.isIdempotent = true;
    parameters.cutoff = request.times.cutoff - answerMargin();
    parameters.end = request.times.end;

    active_query &query = addQuery(number, request.callerRequest, parameters, *partRoute);
    query.part.emplace(gathered_part{.ownRoute = partRoute,
                                     .lookupShardCount = request.shardCount,
                                     .isRepeated = request.isRepeated,
                                     .onEnd = std::move(onEnd)});
    ++m_partCount;
    query.isLateRetry = request.isLateRetry;
    query.deadline = request.times.deadline;
    query.refusalDeadline = request.times.refusal - answerMargin();
    query.arrival = m_environment.time.now();
    allowHedges(query);
    query.nextHedgeTime = std::max(query.nextHedgeTime, request.times.hedges);
    if (m_environment.time.now() < parameters.end)
        admitOrQueue(query);
    finishOrSchedule(query);
}

template <request_format Format>
void query_service<Format>::finishPart(active_query &query, scatter_decision decision)
{
    part_answer answer;
    for (std::size_t shard = 0; shard < query.shards.size(); ++shard) {
        if (!query.progress.isAnswered(shard))
            answer.missing.push_back({shard, query.shards[shard].missingReason});
    }
    if (decision == scatter_decision::Answer) {
        answer.outcome = part_outcome::Answered;
        answer.answers = m_format.combineAnswers(answersOf(query), query.matchedRoute->resultCount);
    } else if (!query.progress.mayHaveRun()) {
        answer.outcome = part_outcome::NotRun;
        answer.retryAfter = retryAfter(query);
    }
    reportEnd(query, nameOf(answer.outcome), 0);
    const part_handler onEnd = std::move(query.part->onEnd);
    removeQuery(query.number);
    onEnd(std::move(answer));
}

template <request_format Format>
bool query_service<Format>::mayBeRefusedWhole(const active_query &query) const
{
    return !query.parts.empty() && query.progress.mayHaveRun()
        && !query.progress.mayEndedAttemptHaveRun() && !m_serviceEnd.isOver
        && m_environment.time.now() < query.refusalDeadline;
}

template <request_format Format>
void query_service<Format>::cancelParts(const active_query &query)
{
    for (const delegated_part &part : query.parts) {
        if (part.sent)
            m_dispatcher.cancel(*part.sent);
        if (part.ownQuery != 0)
            removeQuery(part.ownQuery);
    }
}

template <request_format Format>
member_counts query_service<Format>::sharingHosts(const active_query &query)
{
    if (!query.matchedRoute->queriesAllShards())
        return m_memberCounts;
    const std::size_t shardCount = query.part ? query.part->lookupShardCount : query.shards.size();
    gathering_plan &plan = m_environment.gathering;
    const std::size_t gathererShares =
        query_details::sharesPerGatherer * plan.gatherersPerShard(shardCount);
    if (gathererShares == 0 || gathererShares >= m_memberCounts.forReserves)
        return m_memberCounts;
    // One half is divided among the gatherers and the other one among all hosts.
    const bool isGatherer = query.part && plan.isGatherer(shardCount);
    if (!isGatherer)
        return {2 * m_memberCounts.forReserves, 2 * m_memberCounts.forRates};
    const bool mayMissHosts = m_memberCounts.forRates > m_memberCounts.forReserves;
    return {gathererShares, mayMissHosts ? m_memberCounts.forRates : gathererShares};
}

} // namespace mustardcourse::serving
