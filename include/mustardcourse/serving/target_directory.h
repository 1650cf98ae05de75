#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/core/ids.h>
#include <mustardcourse/limits/shared_rate.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardcourse::serving {

/** Orders the reports of a target: by its start time, then by their sequence number since then. */
struct report_order
{
    /** Start time in milliseconds of Unix time; zero if the target does not report it. */
    std::uint64_t startedAt = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const report_order &, const report_order &) = default;
};

/** Registration of a target, as it last reported it. */
struct target_registration
{
    instance_id instance;
    service_id service;
    endpoint address;
    data_centre_id dataCentre;
    /** Number of requests that it runs concurrently. */
    std::size_t slots = 1;
    bool isLeaving = false;
    /** How much longer it stays cold, so that it can take only little load; counted from the
        report. */
    std::chrono::milliseconds remainingColdTime{0};
    report_order order;
};

/** Load that a target reports with a response. */
struct reported_load
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 1;
};

/** What the end of a request shows about its target. */
enum class target_observation {
    /** It answered in time. */
    Success,
    /** It refused the request for lack of capacity. */
    Refused,
    /** It failed, closed the connection early, or could not be reached. */
    Failure,
    /** The request was cancelled, so its latency is at least the time until then. */
    Cancelled,
    /** Another instance answered at its address, so the target is gone or has moved. */
    Replaced,
};

/** A registered target, with what this host has observed of it through its own requests. */
class target
{
public:
    /** @param phase  value that is evenly distributed over hosts; see maySendWhileCold() */
    target(target_registration registration, time_point now, std::uint32_t phase = 0);

    [[nodiscard]] const target_registration &registration() const noexcept
    {
        return m_registration;
    }

    /** Applies a newer report. Observations from before a restart are discarded. */
    void update(target_registration registration, time_point now);

    /** Records that a request was sent. */
    void recordSent(time_point now);

    /**
        Records what the end of a request shows.

        @param sentAt           when the request was sent
        @param baselineLatency  typical latency of such requests over all targets, times the
                                queueingFactor() of this target when the request was sent
    */
    void recordOutcome(target_observation observation, time_point sentAt, time_point now,
                       duration baselineLatency);

    void recordLoad(const reported_load &load, time_point now);

    /** Records that it has reported to this host that it leaves. That holds until it starts again,
        whatever the store and later answers say. */
    void recordLeaving() noexcept { m_hasReportedLeaving = true; }

    /** Records that it wants no request from this host for a time. This host returns a little
        later than that, at a time of its own, so that not all hosts return at once. */
    void recordPause(duration pause, time_point now);

    /**
        Records the rate of requests that it takes from all hosts together, or that an answer named
        none.

        @param sentAt  when the request of the answer was sent; an answer to an earlier request than
                       the latest one that named a limit doesn't end it
        @returns whether a limit has begun or ended
    */
    bool recordLimit(std::optional<double> requestsPerSecond, time_point sentAt, time_point now);

    /** Returns how long this host has to wait until its next turn within the limit that the target
        has named; zero if there is none. @see limits::shared_rate */
    [[nodiscard]] duration timeUntilTurn(std::size_t memberCount, time_point now);

    /** Returns the rate of requests that it takes from all hosts together, if it has named one. */
    [[nodiscard]] std::optional<double> namedLimit() const noexcept { return m_namedLimit; }

    /** Returns the time until which the target is avoided after failures. */
    [[nodiscard]] time_point avoidedUntil() const noexcept { return m_avoidedUntil; }
    /** Returns whether another instance has recently answered at its address. */
    [[nodiscard]] bool isReplaced(time_point now) const noexcept { return now < m_replacedUntil; }
    [[nodiscard]] bool isCold(time_point now) const noexcept { return now < m_coldUntil; }
    /** Returns whether it leaves, according to the store or to itself. */
    [[nodiscard]] bool isLeaving() const noexcept
    {
        return m_registration.isLeaving || m_hasReportedLeaving;
    }
    /** Returns the end of the pause that it has requested. */
    [[nodiscard]] time_point pausedUntil() const noexcept { return m_pausedUntil; }
    [[nodiscard]] std::size_t inFlight() const noexcept { return m_sendTimes.size(); }
    /** Returns the ratio of its latency to the baseline of recordOutcome(). It returns to 1 over
        time. */
    [[nodiscard]] double slowness(time_point now) const;

    /** Returns the share of recent requests that failed or were refused. */
    [[nodiscard]] double failureShare() const noexcept { return m_failureShare; }

    /** Returns the factor by which a request takes longer now for lack of a free slot. */
    [[nodiscard]] double queueingFactor(duration typicalLatency, time_point now) const;

    /** Returns the expected latency of a request, including the wait in the target's queue. */
    [[nodiscard]] duration expectedLatency(duration typicalLatency, time_point now) const;

    /**
        Returns whether one more request is expected to end within a limit.

        An idle target to which this host has sent nothing for a while always has capacity, as only
        a request shows whether it has recovered.
    */
    [[nodiscard]] bool hasCapacity(duration typicalLatency, duration limit, time_point now) const;

    /**
        Returns whether this host may send one more request now; always true unless it is cold.

        Each host sends in turns of its own, so that all hosts together reach the rate that the
        target can take. @see limits::shared_rate

        @param requestsPerSecond  maximum rate of a cold target from all hosts; no limit if zero
        @param memberCount        number of hosts that share the rate; at least one
    */
    [[nodiscard]] bool maySendWhileCold(double requestsPerSecond, std::size_t memberCount,
                                        time_point now);

private:
    [[nodiscard]] double occupancy(duration typicalLatency, time_point now) const;
    [[nodiscard]] double weightOfObservation(time_point now) const;
    /** Returns the phase of this host, from 0 to 1. */
    [[nodiscard]] double relativePhase() const;

    target_registration m_registration;
    time_point m_coldUntil;
    time_point m_avoidedUntil;
    time_point m_replacedUntil;
    time_point m_pausedUntil;
    bool m_hasReportedLeaving = false;
    std::optional<double> m_namedLimit;
    time_point m_limitNamedAt;
    std::vector<time_point> m_sendTimes;
    std::size_t m_consecutiveFailures = 0;
    double m_failureShare = 0;
    double m_slowness = 1;
    time_point m_slownessUpdatedAt;
    reported_load m_reportedLoad;
    time_point m_loadReportedAt;
    time_point m_lastSentAt;
    /** Differs between hosts, so that they do not all send at the same moment. */
    std::uint32_t m_phase = 0;
    limits::shared_rate m_limitTurns;
    limits::shared_rate m_coldTurns;
};

/** Criteria for choosing the target of one request. */
struct choice_criteria
{
    const service_id &service;
    /** Typical latency of such requests over all targets. */
    duration typicalLatency;
    /** Targets that this request was sent to already. */
    const std::vector<instance_id> &triedTargets;
};

/** Location of this host, and the cost of a target in another data centre as added latency. */
struct placement_parameters
{
    data_centre_id ownDataCentre;
    duration otherDataCentrePenalty = std::chrono::milliseconds(8);
    /** Decides the phase of this host. @see target::maySendWhileCold */
    host_id ownHost;
};

/**
    All targets that a host may use, by service.

    Reports older than the last one of a target are ignored, and after the target was removed that
    one as well, so that neither a write delivered late nor a restored store brings it back. The
    class does no I/O.
*/
class target_directory
{
public:
    target_directory(const clock &clock, placement_parameters placement);

    /**
        Applies a report.

        @returns whether the target is new or has changed its service, address, start, leaving
                 state or remaining cold time
    */
    bool update(target_registration registration);

    /** Removes a target. The order of its last report is kept for a while. */
    void remove(const instance_id &instance);

    /** Removes the targets that a complete listing does not contain. @returns the removed ones */
    std::vector<instance_id> retainOnly(const std::set<instance_id> &listed);

    /** Returns the earliest end of a pause among the targets of a service that are usable but for
        their pause, or nothing if there are none. */
    [[nodiscard]] std::optional<time_point> earliestPauseEnd(const service_id &service) const;

    /** Sets the data centres whose targets get no requests. */
    void setEvacuated(std::set<data_centre_id> dataCentres);
    [[nodiscard]] const std::set<data_centre_id> &evacuated() const noexcept { return m_evacuated; }

    /**
        Returns the target with the lowest cost for a request, or null if none can be used.

        If all are avoided after failures, returns the one whose avoidance ends first.

        @param extraLatency  returns the latency that sending to a target adds now, or nothing if
                             no request can be sent to it
    */
    template <typename ExtraLatency>
    [[nodiscard]] target *choose(const choice_criteria &criteria, ExtraLatency &&extraLatency);

    /** Returns all targets of a service, including those that get no requests. */
    [[nodiscard]] std::vector<const target *> targetsOf(const service_id &service) const;

    /** Returns the data centres that hold a good part of the targets that may get requests. */
    [[nodiscard]] std::set<data_centre_id> mainDataCentres() const;

    [[nodiscard]] target *find(const instance_id &instance);
    [[nodiscard]] std::vector<const target *> all() const;

private:
    [[nodiscard]] bool isUsable(const target &candidate, time_point now) const;
    [[nodiscard]] bool isUsableAfterPause(const target &candidate, time_point now) const;
    [[nodiscard]] duration costOf(const target &candidate, duration typicalLatency,
                                  time_point now) const;

    struct removed_target
    {
        report_order order;
        time_point removedAt;
    };

    const clock &m_clock;
    placement_parameters m_placement;
    std::map<service_id, std::vector<std::unique_ptr<target>>> m_byService;
    std::map<instance_id, target *> m_byInstance;
    std::map<instance_id, removed_target> m_removed;
    std::set<data_centre_id> m_evacuated;
};

template <typename ExtraLatency>
target *target_directory::choose(const choice_criteria &criteria, ExtraLatency &&extraLatency)
{
    const auto found = m_byService.find(criteria.service);
    if (found == m_byService.end())
        return nullptr;
    const time_point now = m_clock.now();
    target *best = nullptr;
    target *avoidedFallback = nullptr;
    duration bestCost = duration::max();
    for (const auto &candidate : found->second) {
        const instance_id &instance = candidate->registration().instance;
        const bool isTried =
            std::find(criteria.triedTargets.begin(), criteria.triedTargets.end(), instance)
            != criteria.triedTargets.end();
        if (isTried || !isUsable(*candidate, now))
            continue;
        const std::optional<duration> extra = extraLatency(*candidate);
        if (!extra)
            continue;
        if (candidate->avoidedUntil() > now) {
            const bool isSooner = avoidedFallback == nullptr
                || candidate->avoidedUntil() < avoidedFallback->avoidedUntil();
            avoidedFallback = isSooner ? candidate.get() : avoidedFallback;
            continue;
        }
        const duration cost = costOf(*candidate, criteria.typicalLatency, now) + *extra;
        if (cost < bestCost) {
            best = candidate.get();
            bestCost = cost;
        }
    }
    // If all are avoided, one of them may still work, and only a request can show it.
    return best != nullptr ? best : avoidedFallback;
}

} // namespace mustardcourse::serving
