#include "entry.h"

#include "lookup_task.h"

#include <mustardcourse/routing/rendezvous.h>

namespace mustardcourse::daemon {

using namespace requests;

namespace {

constexpr double retryFraction = 0.1;
constexpr std::chrono::milliseconds retryAfterRefusal{1000};
constexpr std::chrono::seconds leavingRetention{5};

/** Maximum age of a non-idempotent request; claims are retained for longer. */
constexpr std::chrono::minutes maximumRequestAge{5};

lookup_answer refusal(lookup_outcome outcome, std::chrono::milliseconds retryAfter)
{
    lookup_answer answer;
    answer.outcome = outcome;
    answer.retryAfter = retryAfter;
    return answer;
}

execute_reply notRun(execute_reason reason,
                     std::chrono::milliseconds retryAfter = retryAfterRefusal)
{
    return {execute_outcome::NotRun, reason, "", retryAfter};
}

} // namespace

std::string_view nameOf(lookup_outcome outcome)
{
    switch (outcome) {
    case lookup_outcome::Answered:
        return "answered";
    case lookup_outcome::UnknownService:
        return "unknownService";
    case lookup_outcome::NoSnapshot:
        return "noSnapshot";
    case lookup_outcome::Overloaded:
        return "overloaded";
    }
    return "unknown";
}

/** Counts a request as running during its lifetime. */
class entry::running_request
{
public:
    explicit running_request(entry &owner)
        : m_entry(owner)
    {
        m_entry.m_metrics.requestsRunning.Set(static_cast<double>(++m_entry.m_running));
    }

    ~running_request()
    {
        m_entry.m_metrics.requestsRunning.Set(static_cast<double>(--m_entry.m_running));
    }

    KJ_DISALLOW_COPY(running_request);

private:
    entry &m_entry;
};

entry::entry(wire::event_loop &loop, const clock &clock, const settings::host_settings &host,
             metrics &metrics, const settings_view &settings,
             const membership::member_table &members, home &ownHome, peers &peers)
    : m_loop(loop)
    , m_clock(clock)
    , m_host(host)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_members(members)
    , m_home(ownHome)
    , m_peers(peers)
    , m_retries(retryFraction)
    , m_background(*this)
{ }

void entry::taskFailed(kj::Exception &&)
{
    // A later lookup fetches the versions again.
}

void entry::runMaintenance()
{
    m_directory.removeEmpty();
}

duration entry::deadlineOf(const std::optional<duration> &requested, duration fallback) const
{
    const duration maximum = m_host.limits.maximumDeadline;
    return std::min(requested.value_or(fallback), maximum);
}

std::optional<membership::member_record>
entry::homeOf(const registers::replica &target,
              const std::vector<membership::member_record> &serving) const
{
    if (m_host.dispatch == settings::dispatch_mode::Direct)
        return m_members.self();
    return routing::homeOf(target, serving);
}

std::set<registers::target_id> entry::leavingTargets() const
{
    std::set<registers::target_id> leaving;
    for (const auto &[target, reportedAt] : m_leavingReportedAt) {
        if (m_clock.now() - reportedAt < leavingRetention)
            leaving.insert(target);
    }
    return leaving;
}

void entry::recordLeaving(const registers::target_id &target)
{
    m_leavingReportedAt.insert_or_assign(target, m_clock.now());
    std::erase_if(m_leavingReportedAt, [&](const auto &item) {
        return m_clock.now() - item.second >= leavingRetention;
    });
}

kj::Promise<std::optional<lookup_reply>> entry::sendLookup(const membership::member_record &home,
                                                           const lookup_call &call)
{
    if (home.host == m_host.host)
        return m_home.lookup(call).then(
            [](lookup_reply &&reply) { return std::optional(std::move(reply)); });
    return m_peers.lookup(home.peerAddress, call);
}

kj::Promise<lookup_answer> entry::lookup(lookup_request request)
{
    const auto found = m_settings.findService(request.service);
    if (!found)
        return refusal(lookup_outcome::UnknownService, {});
    if (m_running >= m_host.limits.maximumConcurrentRequests)
        return refusal(lookup_outcome::Overloaded, retryAfterRefusal);

    const time_point startedAt = m_clock.now();
    const time_point deadline = startedAt + deadlineOf(request.deadline, found->service.deadline);
    const std::size_t hitLimit =
        std::min(request.hitLimit.value_or(found->service.hitLimit), found->service.hitLimit);
    return run(std::move(request), found->service.map, std::max<std::size_t>(hitLimit, 1), deadline)
        .then([this, startedAt](lookup_answer &&answer) {
            const std::chrono::duration<double> elapsed = m_clock.now() - startedAt;
            m_metrics.lookupSeconds.Observe(elapsed.count());
            return std::move(answer);
        })
        .attach(kj::heap<running_request>(*this));
}

kj::Promise<lookup_answer> entry::run(lookup_request request, registers::shard_map_pointer map,
                                      std::size_t hitLimit, time_point deadline)
{
    // Only a lookup without a version to pin waits; later replies keep the directory up to date.
    kj::Promise<void> versionsFetched = kj::READY_NOW;
    if (m_directory.choose(*map) == index_version())
        versionsFetched = fetchVersions(map);
    else
        fetchVersionsInBackground(map);
    return versionsFetched.then(
        [this, request = std::move(request), map, hitLimit, deadline]() mutable {
            auto task = kj::heap<lookup_task>(*this, std::move(request), map, hitLimit, deadline);
            auto answerPromise = task->run();
            return answerPromise.attach(kj::mv(task));
        });
}

void entry::fetchVersionsInBackground(const registers::shard_map_pointer &map)
{
    const service_id service = map->service();
    if (!m_fetchingVersions.insert(service).second)
        return;
    m_background.add(
        fetchVersions(map).then([this, service] { m_fetchingVersions.erase(service); }));
}

kj::Promise<void> entry::fetchVersions(const registers::shard_map_pointer &map)
{
    struct home_targets
    {
        membership::member_record home;
        std::vector<registers::target_id> targets;
    };
    const std::set<data_centre_id> excludedDataCentres = m_settings.dataCentresOut(map->team());
    const std::vector<membership::member_record> serving = m_members.serving();
    std::map<host_id, home_targets> groups;
    for (const registers::replica &replica : map->targets()) {
        if (m_directory.hasReport(replica.target)
            || excludedDataCentres.contains(replica.dataCentre))
            continue;
        if (const auto home = homeOf(replica, serving)) {
            groups[home->host].home = *home;
            groups[home->host].targets.push_back(replica.target);
        }
    }
    if (groups.empty())
        return kj::READY_NOW;

    auto fetches = kj::heapArrayBuilder<kj::Promise<void>>(groups.size());
    for (auto &[host, group] : groups) {
        const bool isLocal = host == m_host.host;
        auto versionsPromise = isLocal
            ? m_home.describe(group.targets, map->capacity())
            : m_peers.describe(group.home.peerAddress, group.targets, map->capacity());
        fetches.add(versionsPromise.then(
            [this, targets = group.targets](std::vector<held_versions> &&reports) {
                // A target that cannot be reached counts as holding no version until it reports.
                for (const registers::target_id &target : targets)
                    m_directory.setHeldVersions(target, {});
                for (held_versions &report : reports) {
                    m_directory.setHeldVersions(report.target, std::move(report.versions));
                    if (report.isLeaving)
                        recordLeaving(report.target);
                }
            }));
    }
    return kj::joinPromises(fetches.finish());
}

kj::Promise<execute_reply> entry::execute(execute_request request)
{
    const auto found = m_settings.findService(request.service);
    if (!found)
        return execute_reply{execute_outcome::Rejected, execute_reason::UnknownService, "", {}};
    if (m_running >= m_host.limits.maximumConcurrentRequests)
        return notRun(execute_reason::Overloaded);
    const auto age = m_clock.wallNow().time_since_epoch() - request.issuedAt;
    if (age > maximumRequestAge || age < -maximumRequestAge)
        return notRun(execute_reason::TooOld, {});

    const registers::shard_map &map = *found->service.map;
    const shard_index shard = map.shardOf(request.key);
    execute_call call;
    call.service = request.service;
    call.team = map.team();
    call.request = request.id;
    call.key = std::move(request.key);
    call.body = std::move(request.body);
    call.importance = request.importance;
    // Only the first replica runs non-idempotent requests, so that executions are counted in one
    // place.
    call.shard = {shard, map.at(shard).replicas.front()};
    call.shardCount = static_cast<std::uint32_t>(map.shardCount());
    call.budget = deadlineOf(request.deadline, found->service.deadline);
    call.capacity = map.capacity();
    if (m_settings.dataCentresOut(map.team()).contains(call.shard.replica.dataCentre))
        return notRun(execute_reason::DataCentreOut);
    if (leavingTargets().contains(call.shard.replica.target))
        return notRun(execute_reason::TargetLeaving);
    return dispatch(std::move(call)).attach(kj::heap<running_request>(*this));
}

kj::Promise<execute_reply> entry::dispatch(execute_call call)
{
    const auto home = homeOf(call.shard.replica, m_members.serving());
    if (!home)
        return notRun(execute_reason::HomeUnreachable);
    if (home->host == m_host.host)
        return m_home.execute(std::move(call));
    // The home replies within the budget; if it does not, the result is unknown.
    const duration limit = call.budget + retryAfterRefusal;
    auto timeout = m_loop.sleep(limit).then([] {
        return execute_reply{execute_outcome::Unknown, execute_reason::AnswerLost, "", {}};
    });
    return m_peers.execute(home->peerAddress, std::move(call)).exclusiveJoin(kj::mv(timeout));
}

} // namespace mustardcourse::daemon
