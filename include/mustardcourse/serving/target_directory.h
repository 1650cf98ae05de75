#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/core/ids.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardcourse::serving {

/** Orders what a target says of itself: by its start, then by its count since then. */
struct report_order
{
    /** Time of the start in milliseconds of Unix time; zero if the target does not tell. */
    std::uint64_t startedAt = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const report_order &, const report_order &) = default;
};

/** What a target has registered. */
struct target_registration
{
    instance_id instance;
    service_id service;
    endpoint address;
    data_centre_id dataCentre;
    /** Requests that it runs at the same time. */
    std::size_t slots = 1;
    bool isLeaving = false;
    /** How much longer it bears little load, counted from the report. */
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

/** How a request to a target ended, as far as it tells of the target. */
enum class target_observation {
    /** It answered in time. */
    Success,
    /** It refused the request for want of room. */
    Refused,
    /** It failed, broke off, or could not be reached. */
    Failure,
    /** The request was cancelled, which tells that it took at least so long. */
    Cancelled,
    /** Another instance answered at its address, so the target is gone or has moved. */
    Replaced,
};

/** One registered target with what this host knows of it from its own requests. */
class target
{
public:
    /** @param phase  evenly spread over hosts; see maySendWhileCold() */
    target(target_registration registration, time_point now, std::uint32_t phase = 0);

    [[nodiscard]] const target_registration &registration() const noexcept
    {
        return m_registration;
    }

    /** Takes a newer report. Knowledge of an earlier start is dropped. */
    void update(target_registration registration, time_point now);

    /** Notes that a request was sent. */
    void recordSent(time_point now);

    /**
        Notes the end of a request.

        @param sent      when it was sent
        @param expected  latency that such a request has on average over all targets, times the
                         crowding of this one when it was sent
    */
    void recordOutcome(target_observation evidence, time_point sent, time_point now,
                       duration expected);

    void recordLoad(const reported_load &load, time_point now);

    /** Returns the time at which it may be asked again after failures. */
    [[nodiscard]] time_point avoidedUntil() const noexcept { return m_avoidedUntil; }
    /** Returns whether another instance was found at its address lately. */
    [[nodiscard]] bool isReplaced(time_point now) const noexcept { return now < m_replacedUntil; }
    [[nodiscard]] bool isCold(time_point now) const noexcept { return now < m_coldUntil; }
    [[nodiscard]] std::size_t inFlight() const noexcept { return m_sentAt.size(); }
    /** Returns the time it takes in units of what is usual; some time later it is forgotten. */
    [[nodiscard]] double slowness(time_point now) const;

    /** Returns the part of recent requests that failed or were refused. */
    [[nodiscard]] double failureShare() const noexcept { return m_failureShare; }

    /** Returns the factor by which a request now takes longer for want of a free slot. */
    [[nodiscard]] double queueingFactor(duration expected, time_point now) const;

    /** Returns how long a request would probably take, with the wait in the target's queue. */
    [[nodiscard]] duration expectedLatency(duration expected, time_point now) const;

    /**
        Returns whether one more request would probably end within a limit.

        A target that this host has not asked for a while has room in any case, as only a request
        shows whether it has recovered.
    */
    [[nodiscard]] bool hasCapacity(duration expected, duration limit, time_point now) const;

    /**
        Returns whether this host may send one more request to a cold target now.

        Hosts do not talk about it: each sends one request an interval, and the intervals of all
        hosts together give the rate that the target bears. In any second the sum is at most the
        rate and one request a host.

        @param requestsPerSecond  what the target bears from all hosts; no bound if zero
        @param memberCount        hosts that share it; at least one
    */
    [[nodiscard]] bool maySendWhileCold(double requestsPerSecond, std::size_t memberCount,
                                        time_point now) const;

private:
    [[nodiscard]] double occupancy(duration expected, time_point now) const;
    [[nodiscard]] double weightOfObservation(time_point now) const;

    target_registration m_registration;
    time_point m_coldUntil;
    time_point m_avoidedUntil;
    time_point m_replacedUntil;
    std::vector<time_point> m_sentAt;
    std::size_t m_failuresInRow = 0;
    double m_failureShare = 0;
    double m_slowness = 1;
    time_point m_slownessAt;
    reported_load m_load;
    time_point m_loadAt;
    time_point m_lastSent;
    time_point m_coldSince;
    /** Tells this host apart from the others where all would act at the same moment. */
    std::uint32_t m_phase = 0;
};

/** What one choice of a target has to respect. */
struct choice_criteria
{
    const service_id &service;
    /** Average latency of such requests. */
    duration expected;
    /** Targets that this request has tried. */
    const std::vector<instance_id> &tried;
};

/** Cost of a target in another data centre, as the latency that it is worth. */
struct placement_parameters
{
    data_centre_id ownDataCentre;
    duration otherDataCentrePenalty = std::chrono::milliseconds(8);
    host_id ownHost;
};

/**
    All targets that a host may use, by service.

    Reports of a target that are older than what is known are ignored, also after it has gone, so
    that a write delivered late does not bring a target back. It does no I/O.
*/
class target_directory
{
public:
    target_directory(const clock &clock, placement_parameters placement);

    /** Takes a report. @returns whether anything but the order of the report has changed */
    bool update(target_registration registration);

    /** Removes a target. */
    void remove(const instance_id &instance);

    /** Removes the targets that are not in a complete listing. @returns those removed */
    std::vector<instance_id> retainOnly(const std::set<instance_id> &listed);

    /** Sets the data centres whose targets get no requests. */
    void setEvacuated(std::set<data_centre_id> dataCentres);
    [[nodiscard]] const std::set<data_centre_id> &evacuated() const noexcept { return m_evacuated; }

    /**
        Returns the best target for a request, or null.

        @param extraLatency  returns what sending a request to a target adds to its latency now,
                             or nothing if none can be sent
    */
    template <typename Extra>
    [[nodiscard]] target *choose(const choice_criteria &terms, Extra &&extraLatency);

    /** Returns the targets of a service, those that may get no requests among them. */
    [[nodiscard]] std::vector<const target *> targetsOf(const service_id &service) const;

    [[nodiscard]] target *find(const instance_id &instance);
    [[nodiscard]] std::vector<const target *> all() const;

private:
    [[nodiscard]] bool isUsable(const target &candidate, time_point now) const;
    [[nodiscard]] duration costOf(const target &candidate, duration expected, time_point now) const;

    struct gone_target
    {
        report_order order;
        time_point since;
    };

    const clock &m_clock;
    placement_parameters m_placement;
    std::map<service_id, std::vector<std::unique_ptr<target>>> m_byService;
    std::map<instance_id, target *> m_byInstance;
    std::map<instance_id, gone_target> m_gone;
    std::set<data_centre_id> m_evacuated;
};

template <typename Extra>
target *target_directory::choose(const choice_criteria &terms, Extra &&extraLatency)
{
    const auto found = m_byService.find(terms.service);
    if (found == m_byService.end())
        return nullptr;
    const time_point now = m_clock.now();
    target *best = nullptr;
    target *avoided = nullptr;
    duration bestCost = duration::max();
    for (const auto &candidate : found->second) {
        const instance_id &instance = candidate->registration().instance;
        const bool isTried =
            std::find(terms.tried.begin(), terms.tried.end(), instance) != terms.tried.end();
        if (isTried || !isUsable(*candidate, now))
            continue;
        const std::optional<duration> extra = extraLatency(*candidate);
        if (!extra)
            continue;
        if (candidate->avoidedUntil() > now) {
            const bool isSooner =
                avoided == nullptr || candidate->avoidedUntil() < avoided->avoidedUntil();
            avoided = isSooner ? candidate.get() : avoided;
            continue;
        }
        const duration cost = costOf(*candidate, terms.expected, now) + *extra;
        if (cost < bestCost) {
            best = candidate.get();
            bestCost = cost;
        }
    }
    // Where all are avoided, one of them may still serve, and nothing else would show it.
    return best != nullptr ? best : avoided;
}

} // namespace mustardcourse::serving
