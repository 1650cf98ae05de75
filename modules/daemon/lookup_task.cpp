#include "lookup_task.h"

#include <mustardcourse/core/hash.h>

namespace mustardcourse::daemon {

using namespace requests;

namespace {

/** Time deducted from the homes' budget so that partial replies arrive before the deadline. */
constexpr std::chrono::milliseconds replyMargin{5};

/** Maximum number of replicas queried for one shard. */
constexpr std::size_t maximumAttempts = 3;

/** Maps a shard failure to the attempt outcome that decides on an additional attempt. */
serving::attempt_outcome attemptOutcomeOf(shard_failure failure)
{
    switch (failure) {
    case shard_failure::None:
        return serving::attempt_outcome::Answered;
    case shard_failure::Unreachable:
        return serving::attempt_outcome::NotSent;
    case shard_failure::TimedOut:
        return serving::attempt_outcome::Lost;
    case shard_failure::Malformed:
        return serving::attempt_outcome::Failed;
    default:
        return serving::attempt_outcome::NotRun;
    }
}

} // namespace

lookup_task::lookup_task(entry &owner, lookup_request request, registers::shard_map_pointer map,
                         std::size_t hitLimit, time_point deadline)
    : m_entry(owner)
    , m_request(std::move(request))
    , m_map(std::move(map))
    , m_deadline(deadline)
    , m_seed(stableHash(m_request.id.value()))
    , m_scatter(newScatter())
    , m_merger(hitLimit)
    , m_hitLimit(hitLimit)
    , m_shards(m_map->shardCount())
    , m_tasks(*this)
{ }

void lookup_task::taskFailed(kj::Exception &&)
{
    // Calls to homes never reject; this is called only if processing a reply threw. The shards of
    // that call count as running until the deadline.
}

serving::scatter lookup_task::newScatter() const
{
    serving::scatter_parameters parameters;
    parameters.shardCount = m_map->shardCount();
    parameters.maximumTargets = maximumAttempts;
    parameters.isIdempotent = true;
    parameters.cutoff = m_deadline;
    parameters.end = m_deadline;
    return serving::scatter(parameters);
}

kj::Promise<lookup_answer> lookup_task::run()
{
    auto pair = kj::newPromiseAndFulfiller<lookup_answer>();
    m_fulfiller = kj::mv(pair.fulfiller);
    const duration remaining = std::max(m_deadline - m_entry.m_clock.now(), duration::zero());
    auto timer =
        m_entry.m_loop.sleep(remaining).then([this] { finish(); }).eagerlyEvaluate(nullptr);
    start();
    return pair.promise.attach(kj::mv(timer));
}

void lookup_task::start()
{
    m_version = m_entry.m_directory.choose(*m_map);
    if (m_version == index_version()) {
        finish();
        return;
    }
    std::vector<shard_index> allShards;
    for (std::uint32_t index = 0; index < m_map->shardCount(); ++index)
        allShards.emplace_back(index);
    m_entry.m_retries.earn(allShards.size());
    send(allShards, currentView());
    finishIfDone();
}

lookup_task::routing_view lookup_task::currentView() const
{
    return {m_entry.m_settings.dataCentresOut(m_map->team()), m_entry.leavingTargets(),
            m_entry.m_members.serving()};
}

std::optional<registers::replica> lookup_task::chooseReplica(shard_index shard,
                                                             const routing_view &view) const
{
    const routing::replica_filter filter{view.dataCentresOut, view.leaving,
                                         m_shards[shard.value()].triedTargets};
    return routing::chooseReplica(m_map->at(shard), m_version, m_entry.m_directory, filter,
                                  m_entry.m_host.dataCentre, m_seed);
}

lookup_call lookup_task::makeCall(std::vector<shard_call> shards) const
{
    lookup_call call;
    call.service = m_map->service();
    call.team = m_map->team();
    call.request = m_request.id;
    call.query = m_request.query;
    call.importance = m_request.importance;
    call.version = m_version;
    call.shardCount = static_cast<std::uint32_t>(m_map->shardCount());
    call.hitLimit = static_cast<std::uint32_t>(m_hitLimit);
    call.budget = m_deadline - m_entry.m_clock.now() - replyMargin;
    call.capacity = m_map->capacity();
    call.shards = std::move(shards);
    return call;
}

void lookup_task::send(const std::vector<shard_index> &shards, const routing_view &view)
{
    struct home_group
    {
        membership::member_record home;
        std::vector<shard_call> shards;
    };
    std::map<host_id, home_group> groups;
    for (const shard_index shard : shards) {
        const auto replica = chooseReplica(shard, view);
        const auto home = replica ? m_entry.homeOf(*replica, view.serving) : std::nullopt;
        if (!home) {
            m_scatter.giveUp(shard.value());
            continue;
        }
        m_scatter.recordSent(shard.value());
        m_shards[shard.value()].triedTargets.insert(replica->target);
        home_group &group = groups[home->host];
        group.home = *home;
        group.shards.push_back({shard, *replica});
    }
    for (auto &[host, group] : groups) {
        const lookup_call call = makeCall(group.shards);
        m_tasks.add(
            m_entry.sendLookup(group.home, call)
                .then([this, requestedShards = group.shards](std::optional<lookup_reply> &&reply) {
                    onReply(requestedShards, std::move(reply));
                }));
    }
}

void lookup_task::onReply(const std::vector<shard_call> &requestedShards,
                          std::optional<lookup_reply> reply)
{
    if (m_isFinished)
        return;
    std::set<shard_index> pendingShards;
    for (const shard_call &shardCall : requestedShards)
        pendingShards.insert(shardCall.shard);
    if (reply) {
        m_targetCalls += reply->targetCalls;
        for (shard_reply &shardReply : reply->shards) {
            if (pendingShards.erase(shardReply.shard) > 0)
                onShard(std::move(shardReply));
        }
    }
    for (const shard_index shard : pendingShards)
        recordFailure(shard, shard_failure::Unreachable);
    std::vector<shard_index> unansweredShards;
    for (const shard_call &shardCall : requestedShards) {
        if (!m_scatter.isAnswered(shardCall.shard.value()))
            unansweredShards.push_back(shardCall.shard);
    }
    retry(unansweredShards);
    finishIfDone();
}

void lookup_task::onShard(shard_reply reply)
{
    if (!reply.heldVersions.empty())
        m_entry.m_directory.setHeldVersions(reply.target, reply.heldVersions);
    if (reply.failure == shard_failure::None) {
        m_scatter.recordOutcome(reply.shard.value(), serving::attempt_outcome::Answered);
        m_merger.add(std::move(reply.hits));
        return;
    }
    m_entry.m_metrics.countShardFailure(std::string(nameOf(reply.failure)));
    if (reply.failure == shard_failure::TargetLeaving)
        m_entry.recordLeaving(reply.target);
    recordFailure(reply.shard, reply.failure);
}

void lookup_task::recordFailure(shard_index shard, shard_failure failure)
{
    m_shards[shard.value()].lastFailure = failure;
    m_scatter.recordOutcome(shard.value(), attemptOutcomeOf(failure));
    // The shard's budget was that of the whole lookup, so no time remains for a retry.
    if (failure == shard_failure::TimedOut)
        m_scatter.giveUp(shard.value());
}

void lookup_task::retry(const std::vector<shard_index> &shards)
{
    if (shards.empty())
        return;
    const routing_view view = currentView();
    std::vector<shard_index> retriedShards;
    for (const shard_index shard : shards) {
        const bool canRetry = m_scatter.mayRetry(shard.value()) && chooseReplica(shard, view)
            && m_entry.m_retries.trySpend();
        if (!canRetry) {
            m_scatter.giveUp(shard.value());
            continue;
        }
        m_entry.m_metrics.retries.Increment();
        retriedShards.push_back(shard);
    }
    send(retriedShards, view);
}

bool lookup_task::restartOnNewerSnapshot()
{
    const bool isVersionGone =
        std::any_of(m_shards.begin(), m_shards.end(), [](const shard_progress &progress) {
            return progress.lastFailure == shard_failure::VersionGone;
        });
    if (m_hasRestarted || !isVersionGone || m_scatter.coverage().isComplete())
        return false;
    if (m_entry.m_directory.choose(*m_map) <= m_version)
        return false;
    if (!m_entry.m_retries.trySpend())
        return false;
    m_hasRestarted = true;
    m_scatter = newScatter();
    m_merger = hit_merger(m_hitLimit);
    m_shards.assign(m_map->shardCount(), {});
    start();
    return true;
}

void lookup_task::finishIfDone()
{
    const bool isDone =
        m_scatter.decision(m_entry.m_clock.now()) != serving::scatter_decision::Wait;
    if (m_isFinished || !isDone)
        return;
    if (restartOnNewerSnapshot())
        return;
    finish();
}

void lookup_task::finish()
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    lookup_answer answer;
    answer.outcome =
        m_version == index_version() ? lookup_outcome::NoSnapshot : lookup_outcome::Answered;
    answer.mapRevision = m_map->settingsRevision();
    answer.version = m_version;
    answer.answeredCount = m_scatter.coverage().answeredCount();
    answer.expectedCount = m_scatter.coverage().expectedCount();
    for (const shard_index shard : m_scatter.coverage().missingShards()) {
        shard_failure reason = m_shards[shard.value()].lastFailure;
        if (m_scatter.isRunning(shard.value()) && reason == shard_failure::NotServed)
            reason = shard_failure::TimedOut;
        answer.missingShards.push_back({shard, reason});
    }
    answer.hits = m_merger.take();
    answer.targetCalls = m_targetCalls;
    m_fulfiller->fulfill(std::move(answer));
}

} // namespace mustardcourse::daemon
