#pragma once

// Definitions of query_service; include query_service.h instead.
// When requests are let in, wait for a target with room, or are given up.

#include <mustardcourse/serving/query_service.h>

namespace mustardcourse::serving {

template <request_format Format>
bool query_service<Format>::isLate(duration firstTry, const route &matched)
{
    return firstTry > matched.latencyObjective / 2;
}

template <request_format Format>
void query_service<Format>::enter(query &asked)
{
    for (const query_shard &part : asked.shards)
        m_budgets.of(part.service).earn(1);
    if (admit(asked))
        return;
    asked.waitUntil = m_environment.time.now() + entryWait(asked);
    m_entering.insert(keyOf(asked));
    m_entry.start(query_details::entryInterval);
}

template <request_format Format>
duration query_service<Format>::entryWait(const query &asked) const
{
    const time_point now = m_environment.time.now();
    if (!asked.isLateTry)
        return std::max(asked.refuseBy - now, duration::zero());
    // The caller will not come again, and it still waits.
    const duration left = asked.progress.parameters().end - now;
    return std::min<duration>(asked.matched->latencyObjective, left / 2);
}

template <request_format Format>
duration query_service<Format>::shardWait(const query &asked) const
{
    if (asked.isLateTry)
        return entryWait(asked);
    return scaled(asked.matched->latencyObjective, m_settings.shardWaitPart);
}

template <request_format Format>
bool query_service<Format>::admit(query &asked)
{
    std::vector<target_choice> choices;
    std::size_t answerable = 0;
    std::size_t served = 0;
    for (std::size_t shard = 0; shard < asked.shards.size(); ++shard) {
        choices.push_back(chooseFor(asked, shard));
        answerable += choices.back().chosen != nullptr ? 1 : 0;
        served += choices.back().gap == shard_gap::NoTarget ? 0 : 1;
    }
    // Work on the other shards would be wasted where too few can answer in time.
    if (answerable < asked.progress.parameters().minimumAnswers) {
        // Room may come, but where too few shards have targets at all, waiting is of no use.
        const bool isHopeless = served < asked.progress.parameters().minimumAnswers;
        for (std::size_t shard = 0; shard < asked.shards.size(); ++shard) {
            asked.shards[shard].gap = choices[shard].gap;
            if (isHopeless)
                asked.progress.giveUp(shard);
        }
        return isHopeless;
    }
    for (std::size_t shard = 0; shard < asked.shards.size(); ++shard) {
        const target_choice &choice = choices[shard];
        if (choice.chosen != nullptr) {
            transmit(asked, shard, choice);
            continue;
        }
        asked.shards[shard].gap = choice.gap;
        if (choice.gap == shard_gap::NoTarget)
            asked.progress.giveUp(shard);
        else
            await(asked, shard, m_environment.time.now() + shardWait(asked));
    }
    return true;
}

template <request_format Format>
void query_service<Format>::admitEntering()
{
    // Requests of one route ask for the same shards, so the first that has to wait stands for them.
    std::set<route_id> waitingRoutes;
    const std::vector<entering_key> keys(m_entering.begin(), m_entering.end());
    for (const entering_key &key : keys) {
        const auto found = m_queries.find(std::get<query_number>(key));
        if (found == m_queries.end()) {
            m_entering.erase(key);
            continue;
        }
        query &asked = *found->second;
        if (waitingRoutes.contains(asked.matched->name))
            continue;
        const time_point until = std::exchange(asked.waitUntil, time_point::max());
        if (!admit(asked)) {
            asked.waitUntil = until;
            waitingRoutes.insert(asked.matched->name);
            continue;
        }
        m_entering.erase(key);
        settle(asked);
    }
    // Targets also become free by what other hosts ask of them.
    if (!m_entering.empty())
        m_entry.start(query_details::entryInterval);
}

template <request_format Format>
void query_service<Format>::await(query &asked, std::size_t shard, time_point until)
{
    query_shard &part = asked.shards[shard];
    part.isWaiting = true;
    asked.waitUntil = std::min(asked.waitUntil, until);
    m_waiting[part.service].emplace(asked.matched->priority, asked.progress.parameters().end,
                                    asked.number, shard);
}

template <request_format Format>
typename query_service<Format>::target_choice query_service<Format>::chooseFor(const query &asked,
                                                                               std::size_t shard)
{
    const query_shard &part = asked.shards[shard];
    const service_parameters *parameters = asked.activeConfiguration->findService(part.service);
    const std::size_t connections = parameters == nullptr ? 1 : parameters->maximumConnections;
    const double coldRate = parameters == nullptr ? 0 : parameters->coldRequestsPerSecond;
    const duration expected = asked.statistics->medianLatency();
    const duration limit = roomLimit(*asked.matched);
    const time_point now = m_environment.time.now();
    bool isAnyUsable = false;
    target *chosen = m_environment.directory.choose(
        {part.service, expected, part.tried}, [&](const target &candidate) {
            isAnyUsable = true;
            const bool hasCapacity = candidate.maySendWhileCold(coldRate, m_memberCount, now)
                && candidate.hasCapacity(expected, limit, now);
            return hasCapacity ? connectingTime(candidate, connections) : std::nullopt;
        });
    const shard_gap gap = isAnyUsable ? shard_gap::NoRoom : shard_gap::NoTarget;
    return {chosen, chosen != nullptr ? shard_gap::None : gap, connections};
}

template <request_format Format>
std::optional<duration> query_service<Format>::connectingTime(const target &candidate,
                                                              std::size_t connections)
{
    switch (m_connections.stateOf(candidate.registration(), connections)) {
    case connection_state::Idle:
        return duration::zero();
    case connection_state::ToBeOpened:
        return m_settings.newConnectionTime;
    case connection_state::Full:
        break;
    }
    return std::nullopt;
}

template <request_format Format>
void query_service<Format>::giveUpWaiting(query &asked)
{
    asked.waitUntil = time_point::max();
    const bool isEntering = m_entering.erase(keyOf(asked)) > 0;
    for (std::size_t shard = 0; shard < asked.shards.size(); ++shard) {
        query_shard &part = asked.shards[shard];
        if (isEntering)
            asked.progress.giveUp(shard);
        if (!part.isWaiting)
            continue;
        part.isWaiting = false;
        if (!part.tried.empty())
            m_budgets.of(part.service).refund();
        asked.progress.giveUp(shard);
        const auto waiting = m_waiting.find(part.service);
        if (waiting != m_waiting.end())
            waiting->second.erase(
                {asked.matched->priority, asked.progress.parameters().end, asked.number, shard});
    }
}

template <request_format Format>
duration query_service<Format>::roomLimit(const route &matched) const
{
    return scaled(matched.latencyObjective, m_settings.roomPart);
}

template <request_format Format>
void query_service<Format>::wakeWaiting(const service_id &service)
{
    const auto found = m_waiting.find(service);
    if (found == m_waiting.end())
        return;
    std::set<waiting_key> &waiting = found->second;
    while (!waiting.empty()) {
        const auto [priority, end, number, shard] = *waiting.begin();
        const auto asked = m_queries.find(number);
        if (asked != m_queries.end()) {
            query &waiter = *asked->second;
            const bool isSent = send(waiter, shard);
            if (!isSent && waiter.shards[shard].gap == shard_gap::NoRoom)
                return;
            if (!isSent)
                waiter.progress.giveUp(shard);
            waiter.shards[shard].isWaiting = false;
            waiting.erase(waiting.begin());
            settle(waiter);
            continue;
        }
        waiting.erase(waiting.begin());
    }
    m_waiting.erase(service);
}

template <request_format Format>
void query_service<Format>::retryWaitingRequests()
{
    std::vector<service_id> services;
    for (const auto &[service, waiting] : m_waiting)
        services.push_back(service);
    for (const service_id &service : services)
        wakeWaiting(service);
    admitEntering();
}

} // namespace mustardcourse::serving
