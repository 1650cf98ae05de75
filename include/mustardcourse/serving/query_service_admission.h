#pragma once

// Definitions of query_service; include query_service.h instead.
// Admission of requests and waiting for targets with capacity.

#include <mustardcourse/serving/query_service.h>

namespace mustardcourse::serving {

template <request_format Format>
bool query_service<Format>::isTooLateForObjective(duration timeSinceFirstTry,
                                                  const route &matchedRoute)
{
    return timeSinceFirstTry > matchedRoute.latencyObjective / 2;
}

template <request_format Format>
void query_service<Format>::admitOrQueue(active_query &query)
{
    // A part that another host may have gathered is not the first attempt of its lookup.
    const bool isRepeated = query.part && query.part->isRepeated;
    for (const query_shard &shard : query.shards)
        m_budgets.of(shard.service).earn(isRepeated ? 0 : 1);
    if (tryAdmit(query))
        return;
    query.waitUntil = m_environment.time.now() + admissionWait(query);
    m_pendingAdmission.insert(admissionKeyOf(query));
    m_admissionTimer.start(query_details::admissionInterval);
}

template <request_format Format>
duration query_service<Format>::admissionWait(const active_query &query) const
{
    const time_point now = m_environment.time.now();
    if (!query.isLateRetry)
        return std::max(query.refusalDeadline - now, duration::zero());
    // The caller will not retry again and is still waiting.
    const duration remaining = query.progress.parameters().end - now;
    return std::min<duration>(query.matchedRoute->latencyObjective, remaining / 2);
}

template <request_format Format>
duration query_service<Format>::shardWait(const active_query &query) const
{
    if (query.isLateRetry)
        return admissionWait(query);
    return scaled(query.matchedRoute->latencyObjective, m_settings.shardWaitFraction);
}

template <request_format Format>
bool query_service<Format>::tryAdmit(active_query &query)
{
    std::vector<target_choice> choices;
    std::size_t shardsWithCapacity = 0;
    std::size_t shardsWithTargets = 0;
    for (std::size_t shardIndex = 0; shardIndex < query.shards.size(); ++shardIndex) {
        choices.push_back(chooseTarget(query, shardIndex));
        shardsWithCapacity += choices.back().selectedTarget != nullptr ? 1 : 0;
        shardsWithTargets += choices.back().isHopeless() ? 0 : 1;
    }
    // If too few shards can answer in time, work on the others would be wasted.
    if (shardsWithCapacity < query.progress.parameters().minimumAnswers) {
        // Capacity may become available, but waiting is useless if too few shards have targets.
        const bool hasTooFewTargets =
            shardsWithTargets < query.progress.parameters().minimumAnswers;
        for (std::size_t shardIndex = 0; shardIndex < query.shards.size(); ++shardIndex) {
            query.shards[shardIndex].missingReason = choices[shardIndex].missingReason;
            if (hasTooFewTargets)
                query.progress.giveUp(shardIndex);
        }
        return hasTooFewTargets;
    }
    for (std::size_t shardIndex = 0; shardIndex < query.shards.size(); ++shardIndex) {
        const target_choice &choice = choices[shardIndex];
        const bool isTestRunning = sendRestriction(query).has_value();
        if (isTestRunning) {
            waitForCapacity(query, shardIndex, query.progress.parameters().end);
            continue;
        }
        if (choice.selectedTarget != nullptr) {
            startAttempt(query, shardIndex, choice);
            continue;
        }
        query.shards[shardIndex].missingReason = choice.missingReason;
        if (choice.isHopeless())
            query.progress.giveUp(shardIndex);
        else
            waitForCapacity(query, shardIndex, m_environment.time.now() + shardWait(query));
    }
    return true;
}

template <request_format Format>
void query_service<Format>::admitPending()
{
    // Requests of one route need the same shards: if one has to wait, so do those after it.
    std::set<route_id> waitingRoutes;
    const std::vector<admission_key> keys(m_pendingAdmission.begin(), m_pendingAdmission.end());
    for (const admission_key &key : keys) {
        const auto found = m_queries.find(std::get<query_number>(key));
        if (found == m_queries.end()) {
            m_pendingAdmission.erase(key);
            continue;
        }
        active_query &query = *found->second;
        const bool isTestAwaited = sendRestriction(query) == missing_shard_reason::NoCapacity;
        if (isTestAwaited || waitingRoutes.contains(query.matchedRoute->name))
            continue;
        const time_point until = std::exchange(query.waitUntil, time_point::max());
        if (!tryAdmit(query)) {
            query.waitUntil = until;
            waitingRoutes.insert(query.matchedRoute->name);
            continue;
        }
        m_pendingAdmission.erase(key);
        finishOrSchedule(query);
    }
    // Requests of other hosts also occupy targets, and no event shows when those end.
    if (!m_pendingAdmission.empty())
        m_admissionTimer.start(query_details::admissionInterval);
}

template <request_format Format>
void query_service<Format>::waitForCapacity(active_query &query, std::size_t shardIndex,
                                            time_point until)
{
    query_shard &shard = query.shards[shardIndex];
    shard.isWaitingForCapacity = true;
    query.waitUntil = std::min(query.waitUntil, until);
    m_waitingShards[shard.service].emplace(
        query.matchedRoute->priority, query.progress.parameters().end, query.number, shardIndex);
}

template <request_format Format>
std::optional<missing_shard_reason>
query_service<Format>::sendRestriction(const active_query &query)
{
    switch (m_environment.suspects.permissionFor(query.callerRequest->fingerprint)) {
    case send_permission::Granted:
        return std::nullopt;
    case send_permission::Awaited:
        return missing_shard_reason::NoCapacity;
    case send_permission::Denied:
        break;
    }
    return missing_shard_reason::Suspect;
}

template <request_format Format>
typename query_service<Format>::target_choice
query_service<Format>::chooseTarget(const active_query &query, std::size_t shardIndex)
{
    if (const auto restriction = sendRestriction(query))
        return {nullptr, *restriction, {}};
    const query_shard &shard = query.shards[shardIndex];
    const service_parameters *parameters = query.activeConfiguration->findService(shard.service);
    const member_counts sharing = sharingHosts(query);
    const connection_limit connections{parameters == nullptr ? 1 : parameters->maximumConnections,
                                       sharing.forReserves};
    const double coldRate = parameters == nullptr ? 0 : parameters->coldRequestsPerSecond;
    const duration medianLatency = query.statistics->medianLatency();
    const duration limit = capacityLatencyLimit(*query.matchedRoute);
    const time_point now = m_environment.time.now();
    bool hasUsableTarget = false;
    bool hasTargetWithinLimit = false;
    duration earliestTurn = duration::max();
    target *selectedTarget = m_environment.directory.choose(
        {shard.service, medianLatency, shard.triedTargets},
        [&](target &candidate) -> std::optional<duration> {
            hasUsableTarget = true;
            const duration untilTurn = candidate.timeUntilTurn(sharing.forRates, now);
            if (untilTurn > duration::zero()) {
                earliestTurn = std::min(earliestTurn, untilTurn);
                return std::nullopt;
            }
            hasTargetWithinLimit = true;
            const bool hasCapacity = candidate.maySendWhileCold(coldRate, sharing.forRates, now)
                && candidate.hasCapacity(medianLatency, limit, now);
            return hasCapacity ? connectionDelay(candidate, connections) : std::nullopt;
        });
    if (selectedTarget != nullptr)
        return {selectedTarget, missing_shard_reason::None, connections};
    if (!hasUsableTarget)
        return {nullptr, missing_shard_reason::NoTarget, connections};
    if (!hasTargetWithinLimit && earliestTurn > shardWait(query)) {
        m_environment.metrics.limitDenials.Increment();
        return {nullptr, missing_shard_reason::OverLimit, connections};
    }
    if (earliestTurn != duration::max())
        scheduleTurn(earliestTurn);
    return {nullptr, missing_shard_reason::NoCapacity, connections};
}

template <request_format Format>
void query_service<Format>::scheduleTurn(duration delay)
{
    const time_point turn = m_environment.time.now() + delay;
    if (turn >= m_nextTurn)
        return;
    m_nextTurn = turn;
    m_turnTimer.start(delay);
}

template <request_format Format>
std::optional<duration> query_service<Format>::connectionDelay(const target &candidate,
                                                               const connection_limit &limit)
{
    switch (m_connections.availabilityOf(candidate.registration(), limit)) {
    case connection_availability::IdleConnection:
        return duration::zero();
    case connection_availability::CanOpen:
        return m_settings.newConnectionDelay;
    case connection_availability::AtLimit:
        break;
    }
    return std::nullopt;
}

template <request_format Format>
void query_service<Format>::giveUpWaiting(active_query &query)
{
    query.waitUntil = time_point::max();
    const bool isPendingAdmission = m_pendingAdmission.erase(admissionKeyOf(query)) > 0;
    for (std::size_t shardIndex = 0; shardIndex < query.shards.size(); ++shardIndex) {
        query_shard &shard = query.shards[shardIndex];
        if (isPendingAdmission)
            query.progress.giveUp(shardIndex);
        if (!shard.isWaitingForCapacity)
            continue;
        shard.isWaitingForCapacity = false;
        if (!shard.triedTargets.empty())
            m_budgets.of(shard.service).refund();
        query.progress.giveUp(shardIndex);
        const auto waitingShards = m_waitingShards.find(shard.service);
        if (waitingShards != m_waitingShards.end())
            waitingShards->second.erase({query.matchedRoute->priority,
                                         query.progress.parameters().end, query.number,
                                         shardIndex});
    }
}

template <request_format Format>
duration query_service<Format>::capacityLatencyLimit(const route &matchedRoute) const
{
    return scaled(matchedRoute.latencyObjective, m_settings.capacityLatencyFraction);
}

template <request_format Format>
void query_service<Format>::retryWaitingShards(const service_id &service)
{
    const auto found = m_waitingShards.find(service);
    if (found == m_waitingShards.end())
        return;
    std::set<waiting_shard_key> &waitingShards = found->second;
    const std::vector<waiting_shard_key> keys(waitingShards.begin(), waitingShards.end());
    for (const waiting_shard_key &key : keys) {
        const auto [priority, end, number, shardIndex] = key;
        const auto waitingQuery = m_queries.find(number);
        const bool isGone = waitingQuery == m_queries.end() || !waitingShards.contains(key);
        if (isGone) {
            waitingShards.erase(key);
            continue;
        }
        active_query &query = *waitingQuery->second;
        if (sendRestriction(query) == missing_shard_reason::NoCapacity)
            continue;
        const bool isSent = tryStartAttempt(query, shardIndex);
        if (!isSent && query.shards[shardIndex].missingReason == missing_shard_reason::NoCapacity)
            return;
        if (!isSent)
            query.progress.giveUp(shardIndex);
        query.shards[shardIndex].isWaitingForCapacity = false;
        waitingShards.erase(key);
        finishOrSchedule(query);
    }
}

template <request_format Format>
void query_service<Format>::retryWaitingRequests()
{
    std::vector<service_id> services;
    for (const auto &[service, waitingShards] : m_waitingShards)
        services.push_back(service);
    for (const service_id &service : services)
        retryWaitingShards(service);
    admitPending();
}

} // namespace mustardcourse::serving
