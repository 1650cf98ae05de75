#include <mustardcourse/serving/target_directory.h>

#include <mustardcourse/core/hash.h>

#include <cmath>
#include <limits>

namespace mustardcourse::serving {

namespace {

using std::chrono::milliseconds;

/** Least weight of one observation in the averages; some ten calls show a change. */
constexpr double observationWeight = 0.15;
/** Most weight of one observation, after a long time without any: one may be chance. */
constexpr double soleObservationWeight = 0.5;
/** Time in which half of a target's slowness is forgotten, so that it is tried again. */
constexpr std::chrono::duration<double> slownessHalfLife{2.0};
/** Bounds of the slowness of one observation; one straggler must not outweigh all others. */
constexpr double leastSlowness = 0.2;
constexpr double mostSlowness = 12;
/** Bounds of the age up to which a reported load counts; it is about the time of one request, in
    which the reported ones end. */
constexpr milliseconds leastLoadLifetime{10};
constexpr milliseconds mostLoadLifetime{150};
/** Time after which an idle target that seemed too slow is tried again. */
constexpr milliseconds probeInterval{300};
/** First and longest time for which a failing target is avoided. */
constexpr milliseconds firstAvoidance{100};
constexpr milliseconds longestAvoidance{1600};
/** Failures in a row after which a target is avoided; one may be chance. */
constexpr std::size_t failuresToAvoid = 2;
/** Time for which a target is not asked after another instance answered at its address. Reports
   that arrive later may still be of the one that has gone. */
constexpr std::chrono::seconds replacedTime{3};
/** Latency that a certain failure is worth, in average latencies. */
constexpr double failurePenalty = 10;
/** Part of the average by which a request may be late before its target counts as stalled. */
constexpr double stallFactor = 2.5;
/** Time for which the order of a removed target's reports is remembered. */
constexpr std::chrono::minutes goneLifetime{2};

} // namespace

target::target(target_registration registration, time_point now, std::uint32_t phase)
    : m_registration(std::move(registration))
    , m_coldUntil(now + m_registration.remainingColdTime)
    , m_avoidedUntil(now)
    , m_replacedUntil(now)
    , m_slownessAt(now)
    , m_loadAt(now - mostLoadLifetime)
    , m_lastSent(now - probeInterval)
    , m_coldSince(now)
    , m_phase(phase)
{ }

void target::update(target_registration registration, time_point now)
{
    if (registration.order.startedAt != m_registration.order.startedAt) {
        std::vector<time_point> sent = std::move(m_sentAt);
        *this = target(std::move(registration), now, m_phase);
        m_sentAt = std::move(sent);
        return;
    }
    if (!isCold(now))
        m_coldSince = now;
    m_coldUntil = now + registration.remainingColdTime;
    m_registration = std::move(registration);
}

void target::recordSent(time_point now)
{
    m_sentAt.push_back(now);
    m_lastSent = now;
}

void target::recordOutcome(target_observation evidence, time_point sent, time_point now,
                           duration expected)
{
    const auto found = std::find(m_sentAt.begin(), m_sentAt.end(), sent);
    if (found != m_sentAt.end())
        m_sentAt.erase(found);

    if (evidence == target_observation::Replaced) {
        m_replacedUntil = now + replacedTime;
        return;
    }
    const bool isFailure = evidence == target_observation::Failure;
    const bool isRefusal = evidence == target_observation::Refused;
    if (evidence != target_observation::Cancelled) {
        const double failed = isFailure || isRefusal ? 1 : 0;
        m_failureShare += observationWeight * (failed - m_failureShare);
    }
    if (isFailure) {
        ++m_failuresInRow;
        if (m_failuresInRow >= failuresToAvoid) {
            const auto doublings = std::min<std::size_t>(m_failuresInRow - failuresToAvoid, 4);
            const milliseconds length = firstAvoidance * (1 << doublings);
            m_avoidedUntil = now + std::min(length, longestAvoidance);
        }
        return;
    }
    if (isRefusal)
        return;
    const double took = std::chrono::duration<double>(now - sent).count();
    const double usual = std::max(std::chrono::duration<double>(expected).count(), 1e-4);
    const double observed = std::clamp(took / usual, leastSlowness, mostSlowness);
    const double known = slowness(now);
    const double weight = weightOfObservation(now);
    if (evidence == target_observation::Cancelled) {
        // It took at least so long, so only a longer time than known is news.
        m_slowness = observed > known ? known + weight * (observed - known) : known;
    } else {
        m_slowness = known + weight * (observed - known);
        m_failuresInRow = 0;
        m_avoidedUntil = now;
    }
    m_slownessAt = now;
}

double target::weightOfObservation(time_point now) const
{
    // A host that asks a target rarely has to learn from few observations.
    const std::chrono::duration<double> sinceLast = now - m_slownessAt;
    const double forgotten = 1 - std::exp2(-sinceLast / slownessHalfLife);
    return std::clamp(forgotten, observationWeight, soleObservationWeight);
}

void target::recordLoad(const reported_load &load, time_point now)
{
    m_load = load;
    m_loadAt = now;
}

double target::slowness(time_point now) const
{
    const std::chrono::duration<double> age = now - m_slownessAt;
    const double kept = std::exp2(-age / slownessHalfLife);
    return 1 + (m_slowness - 1) * kept;
}

double target::occupancy(duration expected, time_point now) const
{
    const double slots = static_cast<double>(std::max<std::size_t>(m_registration.slots, 1));
    const auto own = static_cast<double>(m_sentAt.size());
    const duration lifetime =
        std::clamp<duration>(scaled(expected, slowness(now)), leastLoadLifetime, mostLoadLifetime);
    const duration age = now - m_loadAt;
    if (age >= lifetime)
        return own / slots;
    const double left =
        1 - std::chrono::duration<double>(age) / std::chrono::duration<double>(lifetime);
    const double reported = left * static_cast<double>(m_load.running + m_load.waiting);
    return std::max(own, reported) / slots;
}

double target::queueingFactor(duration expected, time_point now) const
{
    const double load = occupancy(expected, now);
    return 1 + (load < 1 ? 0.5 * load * load : load - 0.5);
}

duration target::expectedLatency(duration expected, time_point now) const
{
    const duration base = scaled(expected, slowness(now) * queueingFactor(expected, now));
    if (m_sentAt.empty())
        return base;
    // A request that is far behind its time shows a stall before any response does.
    const duration oldest = now - m_sentAt.front();
    const bool isStalled = oldest > scaled(expected, stallFactor * slowness(now));
    return isStalled ? base + oldest : base;
}

bool target::hasCapacity(duration expected, duration limit, time_point now) const
{
    const bool isProbe = m_sentAt.empty() && now - m_lastSent >= probeInterval;
    return isProbe || expectedLatency(expected, now) <= limit;
}

bool target::maySendWhileCold(double requestsPerSecond, std::size_t memberCount,
                              time_point now) const
{
    if (requestsPerSecond <= 0 || !isCold(now))
        return true;
    const std::chrono::duration<double> interval(static_cast<double>(memberCount)
                                                 / requestsPerSecond);
    // Hosts that learn of a cold target at the same moment must not ask it at the same moment.
    const double phase = static_cast<double>(m_phase) / std::numeric_limits<std::uint32_t>::max();
    const bool hasBegun = now - m_coldSince >= phase * interval;
    return hasBegun && now - m_lastSent >= interval;
}

target_directory::target_directory(const clock &clock, placement_parameters placement)
    : m_clock(clock)
    , m_placement(std::move(placement))
{ }

bool target_directory::update(target_registration registration)
{
    const auto gone = m_gone.find(registration.instance);
    if (gone != m_gone.end()) {
        if (registration.order < gone->second.order)
            return false;
        m_gone.erase(gone);
    }
    target *known = find(registration.instance);
    if (known != nullptr) {
        const target_registration &present = known->registration();
        if (registration.order < present.order)
            return false;
        const bool isMoved =
            present.service != registration.service || present.address != registration.address;
        if (!isMoved) {
            const bool isChanged = present.isLeaving != registration.isLeaving
                || present.order.startedAt != registration.order.startedAt
                || present.remainingColdTime != registration.remainingColdTime;
            known->update(std::move(registration), m_clock.now());
            return isChanged;
        }
        remove(registration.instance);
        m_gone.erase(registration.instance);
    }
    const instance_id instance = registration.instance;
    auto &ofService = m_byService[registration.service];
    const std::uint64_t hash =
        stableHash(m_placement.ownHost.value(), stableHash(instance.value()));
    ofService.push_back(std::make_unique<target>(std::move(registration), m_clock.now(),
                                                 static_cast<std::uint32_t>(hash)));
    m_byInstance[instance] = ofService.back().get();
    return true;
}

void target_directory::remove(const instance_id &instance)
{
    const auto found = m_byInstance.find(instance);
    if (found == m_byInstance.end())
        return;
    const time_point now = m_clock.now();
    std::erase_if(m_gone,
                  [&](const auto &entry) { return now - entry.second.since > goneLifetime; });
    const target_registration registration = found->second->registration();
    m_gone[instance] = {registration.order, now};
    m_byInstance.erase(found);
    std::erase_if(m_byService[registration.service], [&](const auto &each) {
        return each->registration().instance == registration.instance;
    });
}

std::vector<instance_id> target_directory::retainOnly(const std::set<instance_id> &listed)
{
    std::vector<instance_id> removed;
    for (const auto &[instance, known] : m_byInstance) {
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
    const target_registration &registration = candidate.registration();
    return !registration.isLeaving && !candidate.isReplaced(now)
        && !m_evacuated.contains(registration.dataCentre);
}

duration target_directory::costOf(const target &candidate, duration expected, time_point now) const
{
    const duration latency = candidate.expectedLatency(expected, now)
        + scaled(expected, failurePenalty * candidate.failureShare());
    const bool isOwn = candidate.registration().dataCentre == m_placement.ownDataCentre;
    return isOwn ? latency : latency + m_placement.otherDataCentrePenalty;
}

std::vector<const target *> target_directory::targetsOf(const service_id &service) const
{
    std::vector<const target *> targets;
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return targets;
    for (const auto &each : found->second)
        targets.push_back(each.get());
    return targets;
}

target *target_directory::find(const instance_id &instance)
{
    const auto found = m_byInstance.find(instance);
    return found == m_byInstance.end() ? nullptr : found->second;
}

std::vector<const target *> target_directory::all() const
{
    std::vector<const target *> targets;
    for (const auto &[instance, known] : m_byInstance)
        targets.push_back(known);
    return targets;
}

} // namespace mustardcourse::serving
