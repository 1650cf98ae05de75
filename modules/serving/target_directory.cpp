#include <mustardcourse/serving/target_directory.h>

#include <mustardcourse/core/hash.h>

#include <cmath>
#include <limits>

namespace mustardcourse::serving {

namespace {

using std::chrono::milliseconds;

/** Weight of one observation in the moving averages, a minimum for that of the slowness; about ten
    calls reveal a change. */
constexpr double observationWeight = 0.15;
/** Maximum weight of an observation after a long time without any; a single one may be chance. */
constexpr double maximumObservationWeight = 0.5;
/** Half-life of the slowness of a target, so that a slow target is tried again. */
constexpr std::chrono::duration<double> slownessHalfLife{2.0};
/** Bounds of the slowness from one observation; one straggler must not outweigh all others. */
constexpr double minimumSlowness = 0.2;
constexpr double maximumSlowness = 12;
/** Bounds of the time for which a reported load counts. That time is about the latency of one
    request, within which the reported requests end. */
constexpr milliseconds minimumLoadLifetime{10};
constexpr milliseconds maximumLoadLifetime{150};
/** Time after which an idle target that seemed too slow gets a request again. */
constexpr milliseconds probeInterval{300};
/** Initial and maximum time for which a failing target is avoided; doubled by each failure. */
constexpr milliseconds initialAvoidance{100};
constexpr milliseconds maximumAvoidance{1600};
/** Consecutive failures after which a target is avoided; a single one may be chance. */
constexpr std::size_t failuresUntilAvoidance = 2;
/** Time for which a target gets no requests after another instance answered at its address. Reports
   that arrive later do not end it, as they may still be of the target that is gone. */
constexpr std::chrono::seconds replacedTime{3};
/** Share of a requested pause over which the returns of the hosts are spread, and its maximum. */
constexpr double returnSpread = 0.2;
constexpr milliseconds maximumReturnSpread{500};
/** Time for which a host can use its turn at a cold target. */
constexpr milliseconds coldTurnLifetime{500};
/** Time for which a host can use its turn at a target that has named a limit. */
constexpr milliseconds limitTurnLifetime{1250};
/** Rate for all hosts together at which a target that takes less than this is tried, as only its
    answers show that the limit has ended. */
constexpr double minimumLimit = 0.5;
/** Cost of a target that always fails, as a multiple of the typical latency. */
constexpr double failurePenalty = 10;
/** Multiple of a target's usual latency after which its oldest request counts as stalled. */
constexpr double stallFactor = 2.5;
/** Number of targets of a data centre, relative to the one with the most, from which it counts as
   one that holds targets. */
constexpr double minimumTargetShare = 0.25;
/** Time for which the order of a removed target's last report is kept. */
constexpr std::chrono::minutes removedOrderLifetime{2};

} // namespace

target::target(target_registration registration, time_point now, std::uint32_t phase)
    : m_registration(std::move(registration))
    , m_coldUntil(now + m_registration.remainingColdTime)
    , m_avoidedUntil(now)
    , m_replacedUntil(now)
    , m_pausedUntil(now)
    , m_slownessUpdatedAt(now)
    , m_loadReportedAt(now - maximumLoadLifetime)
    , m_lastSentAt(now - probeInterval)
    , m_phase(phase)
    , m_limitTurns(0, limitTurnLifetime, now)
    , m_coldTurns(relativePhase(), coldTurnLifetime, now)
{ }

void target::update(target_registration registration, time_point now)
{
    if (registration.order.startedAt != m_registration.order.startedAt) {
        std::vector<time_point> sendTimes = std::move(m_sendTimes);
        *this = target(std::move(registration), now, m_phase);
        m_sendTimes = std::move(sendTimes);
        return;
    }
    if (!isCold(now))
        m_coldTurns = limits::shared_rate(relativePhase(), coldTurnLifetime, now);
    m_coldUntil = now + registration.remainingColdTime;
    m_registration = std::move(registration);
}

void target::recordSent(time_point now)
{
    m_sendTimes.push_back(now);
    m_lastSentAt = now;
    m_limitTurns.recordSent();
    m_coldTurns.recordSent();
}

void target::recordOutcome(target_observation observation, time_point sentAt, time_point now,
                           duration baselineLatency)
{
    const auto found = std::find(m_sendTimes.begin(), m_sendTimes.end(), sentAt);
    if (found != m_sendTimes.end())
        m_sendTimes.erase(found);

    if (observation == target_observation::Replaced) {
        m_replacedUntil = now + replacedTime;
        return;
    }
    const bool isFailure = observation == target_observation::Failure;
    const bool isRefusal = observation == target_observation::Refused;
    if (observation != target_observation::Cancelled) {
        const double failed = isFailure || isRefusal ? 1 : 0;
        m_failureShare += observationWeight * (failed - m_failureShare);
    }
    if (isFailure) {
        ++m_consecutiveFailures;
        if (m_consecutiveFailures >= failuresUntilAvoidance) {
            const auto doublings =
                std::min<std::size_t>(m_consecutiveFailures - failuresUntilAvoidance, 4);
            const milliseconds avoidance = initialAvoidance * (1 << doublings);
            m_avoidedUntil = now + std::min(avoidance, maximumAvoidance);
        }
        return;
    }
    if (isRefusal)
        return;
    const double elapsedSeconds = std::chrono::duration<double>(now - sentAt).count();
    const double baselineSeconds =
        std::max(std::chrono::duration<double>(baselineLatency).count(), 1e-4);
    const double observedSlowness =
        std::clamp(elapsedSeconds / baselineSeconds, minimumSlowness, maximumSlowness);
    const double currentSlowness = slowness(now);
    const double weight = weightOfObservation(now);
    if (observation == target_observation::Cancelled) {
        // The elapsed time is a lower bound of the latency, so only a higher slowness counts.
        m_slowness = observedSlowness > currentSlowness
            ? currentSlowness + weight * (observedSlowness - currentSlowness)
            : currentSlowness;
    } else {
        m_slowness = currentSlowness + weight * (observedSlowness - currentSlowness);
        m_consecutiveFailures = 0;
        m_avoidedUntil = now;
    }
    m_slownessUpdatedAt = now;
}

double target::weightOfObservation(time_point now) const
{
    // A host that rarely sends to a target has to learn from few observations.
    const std::chrono::duration<double> sinceLast = now - m_slownessUpdatedAt;
    const double decayedShare = 1 - std::exp2(-sinceLast / slownessHalfLife);
    return std::clamp(decayedShare, observationWeight, maximumObservationWeight);
}

void target::recordLoad(const reported_load &load, time_point now)
{
    m_reportedLoad = load;
    m_loadReportedAt = now;
}

void target::recordPause(duration pause, time_point now)
{
    const duration spread = std::min<duration>(scaled(pause, returnSpread), maximumReturnSpread);
    m_pausedUntil = std::max(m_pausedUntil, now + pause + scaled(spread, relativePhase()));
}

bool target::recordLimit(std::optional<double> requestsPerSecond, time_point sentAt, time_point now)
{
    if (!requestsPerSecond && sentAt < m_limitNamedAt)
        return false;
    const bool hasChanged = m_namedLimit.has_value() != requestsPerSecond.has_value();
    m_namedLimit = requestsPerSecond;
    if (requestsPerSecond)
        m_limitNamedAt = now;
    if (requestsPerSecond && hasChanged)
        m_limitTurns = limits::shared_rate(relativePhase(), limitTurnLifetime, now);
    return hasChanged;
}

duration target::timeUntilTurn(std::size_t memberCount, time_point now)
{
    if (!m_namedLimit)
        return duration::zero();
    return m_limitTurns.timeUntilTurn({std::max(*m_namedLimit, minimumLimit), memberCount}, now);
}

double target::relativePhase() const
{
    return static_cast<double>(m_phase) / std::numeric_limits<std::uint32_t>::max();
}

double target::slowness(time_point now) const
{
    const std::chrono::duration<double> age = now - m_slownessUpdatedAt;
    const double retainedShare = std::exp2(-age / slownessHalfLife);
    return 1 + (m_slowness - 1) * retainedShare;
}

double target::occupancy(duration typicalLatency, time_point now) const
{
    const double slots = static_cast<double>(std::max<std::size_t>(m_registration.slots, 1));
    const auto ownRequests = static_cast<double>(m_sendTimes.size());
    const duration lifetime = std::clamp<duration>(scaled(typicalLatency, slowness(now)),
                                                   minimumLoadLifetime, maximumLoadLifetime);
    const duration age = now - m_loadReportedAt;
    if (age >= lifetime)
        return ownRequests / slots;
    const double remainingShare =
        1 - std::chrono::duration<double>(age) / std::chrono::duration<double>(lifetime);
    const double reportedRequests =
        remainingShare * static_cast<double>(m_reportedLoad.running + m_reportedLoad.waiting);
    return std::max(ownRequests, reportedRequests) / slots;
}

double target::queueingFactor(duration typicalLatency, time_point now) const
{
    const double load = occupancy(typicalLatency, now);
    return 1 + (load < 1 ? 0.5 * load * load : load - 0.5);
}

duration target::expectedLatency(duration typicalLatency, time_point now) const
{
    const duration base =
        scaled(typicalLatency, slowness(now) * queueingFactor(typicalLatency, now));
    if (m_sendTimes.empty())
        return base;
    // A request that is long overdue reveals a stall before any response does.
    const duration oldestAge = now - m_sendTimes.front();
    const bool isStalled = oldestAge > scaled(typicalLatency, stallFactor * slowness(now));
    return isStalled ? base + oldestAge : base;
}

bool target::hasCapacity(duration typicalLatency, duration limit, time_point now) const
{
    const bool isProbe = m_sendTimes.empty() && now - m_lastSentAt >= probeInterval;
    return isProbe || expectedLatency(typicalLatency, now) <= limit;
}

bool target::maySendWhileCold(double requestsPerSecond, std::size_t memberCount, time_point now)
{
    return requestsPerSecond <= 0 || !isCold(now)
        || m_coldTurns.timeUntilTurn({requestsPerSecond, memberCount}, now) == duration::zero();
}

target_directory::target_directory(const clock &clock, placement_parameters placement)
    : m_clock(clock)
    , m_placement(std::move(placement))
{ }

bool target_directory::update(target_registration registration)
{
    const auto removed = m_removed.find(registration.instance);
    if (removed != m_removed.end()) {
        // A target that is back sends newer reports; a restored store shows its last one again.
        if (registration.order <= removed->second.order)
            return false;
        m_removed.erase(removed);
    }
    target *existing = find(registration.instance);
    if (existing != nullptr) {
        const target_registration &current = existing->registration();
        if (registration.order < current.order)
            return false;
        const bool hasMoved =
            current.service != registration.service || current.address != registration.address;
        if (!hasMoved) {
            const bool hasChanged = current.isLeaving != registration.isLeaving
                || current.order.startedAt != registration.order.startedAt
                || current.remainingColdTime != registration.remainingColdTime;
            existing->update(std::move(registration), m_clock.now());
            return hasChanged;
        }
        remove(registration.instance);
        m_removed.erase(registration.instance);
    }
    const instance_id instance = registration.instance;
    auto &serviceTargets = m_byService[registration.service];
    const std::uint64_t hash =
        stableHash(m_placement.ownHost.value(), stableHash(instance.value()));
    serviceTargets.push_back(std::make_unique<target>(std::move(registration), m_clock.now(),
                                                      static_cast<std::uint32_t>(hash)));
    m_byInstance[instance] = serviceTargets.back().get();
    return true;
}

void target_directory::remove(const instance_id &instance)
{
    const auto found = m_byInstance.find(instance);
    if (found == m_byInstance.end())
        return;
    const time_point now = m_clock.now();
    std::erase_if(m_removed, [&](const auto &entry) {
        return now - entry.second.removedAt > removedOrderLifetime;
    });
    const target_registration registration = found->second->registration();
    m_removed[instance] = {registration.order, now};
    m_byInstance.erase(found);
    std::erase_if(m_byService[registration.service], [&](const auto &entry) {
        return entry->registration().instance == registration.instance;
    });
}

std::vector<instance_id> target_directory::retainOnly(const std::set<instance_id> &listed)
{
    std::vector<instance_id> removed;
    for (const auto &[instance, entry] : m_byInstance) {
        if (!listed.contains(instance))
            removed.push_back(instance);
    }
    for (const instance_id &instance : removed)
        remove(instance);
    return removed;
}

void target_directory::setEvacuated(std::set<data_centre_id> dataCentres)
{
    m_evacuated = std::move(dataCentres);
}

bool target_directory::isUsable(const target &candidate, time_point now) const
{
    return now >= candidate.pausedUntil() && isUsableAfterPause(candidate, now);
}

bool target_directory::isUsableAfterPause(const target &candidate, time_point now) const
{
    return !candidate.isLeaving() && !candidate.isReplaced(now)
        && !m_evacuated.contains(candidate.registration().dataCentre);
}

std::optional<time_point> target_directory::earliestPauseEnd(const service_id &service) const
{
    const time_point now = m_clock.now();
    std::optional<time_point> earliest;
    for (const target *candidate : targetsOf(service)) {
        const bool isPaused = now < candidate->pausedUntil();
        if (isPaused && isUsableAfterPause(*candidate, now))
            earliest =
                std::min(earliest.value_or(candidate->pausedUntil()), candidate->pausedUntil());
    }
    return earliest;
}

duration target_directory::costOf(const target &candidate, duration typicalLatency,
                                  time_point now) const
{
    const duration latency = candidate.expectedLatency(typicalLatency, now)
        + scaled(typicalLatency, failurePenalty * candidate.failureShare());
    const bool isInOwnDataCentre = candidate.registration().dataCentre == m_placement.ownDataCentre;
    return isInOwnDataCentre ? latency : latency + m_placement.otherDataCentrePenalty;
}

std::vector<const target *> target_directory::targetsOf(const service_id &service) const
{
    std::vector<const target *> targets;
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return targets;
    for (const auto &entry : found->second)
        targets.push_back(entry.get());
    return targets;
}

std::set<data_centre_id> target_directory::mainDataCentres() const
{
    std::map<data_centre_id, std::size_t> counts;
    std::size_t largestCount = 0;
    for (const auto &[instance, entry] : m_byInstance) {
        const data_centre_id &dataCentre = entry->registration().dataCentre;
        if (!entry->isLeaving() && !m_evacuated.contains(dataCentre))
            largestCount = std::max(largestCount, ++counts[dataCentre]);
    }
    const double minimumCount = minimumTargetShare * static_cast<double>(largestCount);
    std::set<data_centre_id> dataCentres;
    for (const auto &[dataCentre, count] : counts) {
        if (static_cast<double>(count) >= minimumCount)
            dataCentres.insert(dataCentre);
    }
    return dataCentres;
}

target *target_directory::find(const instance_id &instance)
{
    const auto found = m_byInstance.find(instance);
    return found == m_byInstance.end() ? nullptr : found->second;
}

std::vector<const target *> target_directory::all() const
{
    std::vector<const target *> targets;
    for (const auto &[instance, entry] : m_byInstance)
        targets.push_back(entry);
    return targets;
}

} // namespace mustardcourse::serving
