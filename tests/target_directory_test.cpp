#include "property.h"
#include "sliding_window.h"

#include <mustardcourse/serving/retry_budgets.h>
#include <mustardcourse/serving/target_directory.h>

#include <random>

using namespace mustardcourse;
using namespace mustardcourse::serving;
using namespace std::chrono_literals;

namespace {

const service_id bids("bids");
const data_centre_id riga("riga");
const data_centre_id jelgava("jelgava");
constexpr duration typicalLatency = 10ms;

target_registration makeRegistration(const std::string &name,
                                     const data_centre_id &dataCentre = riga,
                                     report_order order = {1, 1})
{
    target_registration registration;
    registration.instance = instance_id(name);
    registration.service = bids;
    registration.address = endpoint("127.0.0.1", 9000);
    registration.dataCentre = dataCentre;
    registration.slots = 2;
    registration.order = order;
    return registration;
}

struct fixture
{
    manual_clock time;
    /** Targets to which a connection would have to be opened. */
    std::set<instance_id> unconnectedTargets;
    target_directory directory{time, {riga, 8ms, host_id("host")}};

    std::string chooseTarget(const std::vector<instance_id> &triedTargets = {})
    {
        const target *best =
            directory.choose({bids, typicalLatency, triedTargets}, [&](const target &candidate) {
                const auto &instance = candidate.registration().instance;
                return std::optional(unconnectedTargets.contains(instance) ? 10ms
                                                                           : duration::zero());
            });
        return best == nullptr ? "none" : best->registration().instance.value();
    }

    void runRequest(const std::string &name, target_observation observation, duration latency)
    {
        target *found = directory.find(instance_id(name));
        const time_point sentAt = time.now();
        found->recordSent(sentAt);
        time.advance(latency);
        found->recordOutcome(observation, sentAt, time.now(), typicalLatency);
    }
};

/** Returns the highest number of events in any time window. */
/** Returns hosts that have just learned of the same cold target, "a". */
std::vector<std::unique_ptr<target_directory>> hostsWithColdTarget(const manual_clock &time,
                                                                   std::size_t count)
{
    std::vector<std::unique_ptr<target_directory>> hosts;
    for (std::size_t i = 0; i < count; ++i) {
        hosts.push_back(std::make_unique<target_directory>(
            time, placement_parameters{riga, 8ms, host_id("host-" + std::to_string(i))}));
        target_registration cold = makeRegistration("a");
        cold.remainingColdTime = 60s;
        hosts.back()->update(cold);
    }
    return hosts;
}

} // namespace

TEST_CASE("which reports of a target are applied")
{
    struct row
    {
        std::string name;
        report_order first;
        report_order second;
        bool isSecondApplied;
    };
    const row rows[] = {
        {"a higher sequence number", {5, 1}, {5, 2}, true},
        {"a lower sequence number delivered late", {5, 7}, {5, 6}, false},
        {"a restart begins a new sequence", {5, 7}, {6, 1}, true},
        {"an earlier start", {6, 1}, {5, 9}, false},
    };
    for (const row &item : rows) {
        for (const bool isRemovedBetween : {false, true}) {
            CAPTURE(item.name);
            CAPTURE(isRemovedBetween);
            fixture f;
            f.directory.update(makeRegistration("a", riga, item.first));
            if (isRemovedBetween)
                f.directory.remove(instance_id("a"));
            target_registration second = makeRegistration("a", riga, item.second);
            second.isLeaving = true;
            f.directory.update(second);
            const target *found = f.directory.find(instance_id("a"));
            CHECK((found != nullptr && found->registration().isLeaving) == item.isSecondApplied);
        }
    }
}

TEST_CASE("a target that was removed stays removed when its last report is read again")
{
    fixture f;
    f.directory.update(makeRegistration("a", riga, {5, 7}));
    f.directory.remove(instance_id("a"));
    CHECK_FALSE(f.directory.update(makeRegistration("a", riga, {5, 7})));
    CHECK(f.chooseTarget() == "none");
    CHECK(f.directory.update(makeRegistration("a", riga, {5, 8})));
    CHECK(f.chooseTarget() == "a");
}

TEST_CASE("a target that reports that it leaves gets no request until it starts again")
{
    struct row
    {
        std::string name;
        std::optional<report_order> laterReport;
        std::string expected;
    };
    const row rows[] = {
        {"no later report", std::nullopt, "none"},
        {"the store says later that it is ready", report_order{5, 9}, "none"},
        {"it starts again under its id", report_order{6, 1}, "a"},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        fixture f;
        f.directory.update(makeRegistration("a", riga, {5, 7}));
        f.directory.find(instance_id("a"))->recordLeaving();
        CHECK(f.chooseTarget() == "none");
        if (item.laterReport)
            f.directory.update(makeRegistration("a", riga, *item.laterReport));
        f.runRequest("a", target_observation::Success, 1ms);
        CHECK(f.chooseTarget() == item.expected);
    }
}

TEST_CASE(
    "a target that requests a pause gets no request before its end and the hosts return apart")
{
    constexpr duration pause = 2s;
    std::set<time_point> returns;
    for (int host = 0; host < 20; ++host) {
        CAPTURE(host);
        manual_clock time;
        target_directory directory(time, {riga, 8ms, host_id("host-" + std::to_string(host))});
        directory.update(makeRegistration("a"));
        target *paused = directory.find(instance_id("a"));
        paused->recordPause(pause, time.now());
        // A shorter pause in a response that arrives late does not end this one.
        paused->recordPause(10ms, time.now());
        const auto end = directory.earliestPauseEnd(bids);
        REQUIRE(end);
        CHECK(*end - time.now() >= pause);
        CHECK(*end - time.now() <= pause + 500ms);
        returns.insert(*end);
        const auto isChosen = [&] {
            return directory.choose({bids, typicalLatency, {}}, [](const target &) {
                return std::optional(0ms);
            }) != nullptr;
        };
        CHECK_FALSE(isChosen());
        time.advance(pause - 1ms);
        CHECK_FALSE(isChosen());
        time.advance(501ms);
        CHECK(isChosen());
        CHECK_FALSE(directory.earliestPauseEnd(bids));
    }
    CHECK(returns.size() >= 15);
}

TEST_CASE("a target that is leaving or evacuated or tried or removed gets no request")
{
    struct row
    {
        std::string name;
        void (*change)(fixture &);
        std::vector<instance_id> triedTargets;
        std::string expected;
    };
    const row rows[] = {
        {"no change", [](fixture &) {}, {}, "a"},
        {"it is leaving",
         [](fixture &f) {
             target_registration leaving = makeRegistration("a", riga, {1, 2});
             leaving.isLeaving = true;
             f.directory.update(leaving);
         },
         {},
         "b"},
        {"it was removed", [](fixture &f) { f.directory.remove(instance_id("a")); }, {}, "b"},
        {"its data centre is evacuated",
         [](fixture &f) { f.directory.setEvacuated({riga}); },
         {},
         "b"},
        {"both are evacuated",
         [](fixture &f) {
             f.directory.setEvacuated({riga, jelgava});
         },
         {},
         "none"},
        {"it was tried", [](fixture &) {}, {instance_id("a")}, "b"},
        {"a complete listing does not contain it",
         [](fixture &f) { f.directory.retainOnly({instance_id("b")}); },
         {},
         "b"},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        fixture f;
        f.directory.update(makeRegistration("a", riga));
        f.directory.update(makeRegistration("b", jelgava));
        item.change(f);
        CHECK(f.chooseTarget(item.triedTargets) == item.expected);
    }
}

TEST_CASE("observations of own requests change the choice of a target and decay")
{
    struct row
    {
        std::string name;
        target_observation observation;
        duration latency;
        int requestCount;
        std::string expected;
    };
    const row rows[] = {
        {"typical latency", target_observation::Success, typicalLatency, 20, "a"},
        {"slow", target_observation::Success, 80ms, 20, "b"},
        {"refused", target_observation::Refused, 1ms, 20, "b"},
        {"failed twice", target_observation::Failure, 1ms, 2, "b"},
        {"failed once", target_observation::Failure, 1ms, 1, "b"},
        {"cancelled after a long time", target_observation::Cancelled, 120ms, 20, "b"},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        fixture f;
        f.directory.update(makeRegistration("a", riga));
        f.directory.update(makeRegistration("b", jelgava));
        for (int i = 0; i < item.requestCount; ++i)
            f.runRequest("a", item.observation, item.latency);
        CHECK(f.chooseTarget() == item.expected);
        const bool isSlow = item.latency > typicalLatency;
        f.time.advance(30s);
        if (isSlow)
            CHECK(f.chooseTarget() == "a");
    }
}

TEST_CASE("a target has capacity if a request would end in time or it has been idle for a while")
{
    struct row
    {
        std::string name;
        std::size_t inFlight;
        reported_load load;
        bool isSlow;
        duration idleTime;
        bool expected;
    };
    const row rows[] = {
        {"idle", 0, {}, false, 0ms, true},
        {"some work", 2, {2, 0, 2}, false, 0ms, true},
        {"a long queue", 1, {2, 18, 2}, false, 0ms, false},
        {"idle and slow with a recent request", 0, {}, true, 0ms, false},
        {"idle and slow without a recent request", 0, {}, true, 300ms, true},
        {"busy and slow", 2, {}, true, 300ms, false},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        fixture f;
        f.directory.update(makeRegistration("a"));
        for (int i = 0; i < (item.isSlow ? 30 : 0); ++i)
            f.runRequest("a", target_observation::Success, 110ms);
        f.time.advance(item.idleTime);
        target *found = f.directory.find(instance_id("a"));
        for (std::size_t i = 0; i < item.inFlight; ++i)
            found->recordSent(f.time.now());
        if (item.load.running > 0)
            found->recordLoad(item.load, f.time.now());
        CHECK(found->hasCapacity(typicalLatency, 64ms, f.time.now()) == item.expected);
    }
}

TEST_CASE("a cold target gets at most its rate plus one request per host in any second")
{
    struct row
    {
        std::string name;
        std::size_t hosts;
        double rate;
    };
    const row rows[] = {
        {"three hosts", 3, 20}, {"seven hosts", 7, 10}, {"more hosts than requests", 10, 4}};
    for (const row &item : rows) {
        CAPTURE(item.name);
        manual_clock time;
        const auto hosts = hostsWithColdTarget(time, item.hosts);
        std::vector<time_point> sendTimes;
        for (int step = 0; step < 4000; ++step) {
            for (const auto &host : hosts) {
                target *found = host->find(instance_id("a"));
                if (!found->maySendWhileCold(item.rate, item.hosts, time.now()))
                    continue;
                found->recordSent(time.now());
                sendTimes.push_back(time.now());
            }
            time.advance(5ms);
        }
        const std::size_t maximumInWindow = tests::mostWithin(1s, sendTimes);
        CHECK(double(maximumInWindow) <= item.rate + double(item.hosts));
        // The platform's bound is one and a half times the rate plus five requests.
        CHECK(double(maximumInWindow) <= 1.5 * item.rate + 5);
        CHECK(double(sendTimes.size()) >= 0.8 * 20 * item.rate);
    }
}

TEST_CASE("a cold target gets at most its rate from hosts that were idle")
{
    constexpr double rate = 10;
    for (const std::size_t hostCount : {std::size_t{7}, std::size_t{20}, std::size_t{67}}) {
        CAPTURE(hostCount);
        manual_clock time;
        const auto hosts = hostsWithColdTarget(time, hostCount);
        // Longer than a host waits between two requests.
        time.advance(8s);
        std::vector<time_point> sendTimes;
        for (int step = 0; step < 1000; ++step) {
            for (const auto &host : hosts) {
                target *found = host->find(instance_id("a"));
                if (!found->maySendWhileCold(rate, hostCount, time.now()))
                    continue;
                found->recordSent(time.now());
                sendTimes.push_back(time.now());
            }
            time.advance(5ms);
        }
        // The platform's bound is one and a half times the rate plus five requests.
        CHECK(double(tests::mostWithin(1s, sendTimes)) <= 1.5 * rate + 5);
    }
}

TEST_CASE("a target gets at most what the limit that it has named allows in any four seconds")
{
    enum class change { None, AllLearnAtOnce, IdleThenBusy, HostsJoin, LimitVaries };
    struct row
    {
        std::string name;
        std::size_t hosts;
        double limit;
        /** Requests a second that each host has for the target. */
        double demand;
        change event;
    };
    const row rows[] = {
        {"seven hosts", 7, 30, 9, change::None},
        {"seven hosts that learn of it at once", 7, 30, 9, change::AllLearnAtOnce},
        {"seven hosts that were idle", 7, 30, 200, change::IdleThenBusy},
        {"seven hosts and a small limit", 7, 2, 50, change::AllLearnAtOnce},
        {"seven hosts and no request wanted", 7, 0, 50, change::AllLearnAtOnce},
        {"sixty hosts", 60, 18, 0.6, change::None},
        {"sixty busy hosts", 60, 18, 50, change::AllLearnAtOnce},
        {"sixty hosts that were idle", 60, 18, 50, change::IdleThenBusy},
        {"sixty hosts and a small limit", 60, 2, 50, change::IdleThenBusy},
        {"two hundred hosts", 200, 100, 50, change::IdleThenBusy},
        {"hosts join", 12, 40, 50, change::HostsJoin},
        {"a limit that varies", 12, 40, 50, change::LimitVaries},
    };
    constexpr auto step = 5ms;
    constexpr int stepsPerSecond = 200;
    for (const row &item : rows) {
        CAPTURE(item.name);
        manual_clock time;
        std::mt19937_64 random(20261204);
        std::uniform_real_distribution<double> uniform(0, 1);
        std::vector<std::unique_ptr<target_directory>> hosts;
        const bool doHostsJoin = item.event == change::HostsJoin;
        std::vector<time_point> sendTimes;
        for (int number = 0; number < 30 * stepsPerSecond; ++number) {
            const bool isMidway = number == 15 * stepsPerSecond;
            const std::size_t hostCount =
                doHostsJoin && number < 15 * stepsPerSecond ? item.hosts * 3 / 4 : item.hosts;
            while (hosts.size() < hostCount) {
                hosts.push_back(std::make_unique<target_directory>(
                    time,
                    placement_parameters{riga, 8ms,
                                         host_id("host-" + std::to_string(hosts.size()))}));
                hosts.back()->update(makeRegistration("a"));
            }
            const bool isIdle = item.event == change::IdleThenBusy && number < 15 * stepsPerSecond;
            const double limit = item.event == change::LimitVaries
                ? item.limit * (0.8 + 0.2 * uniform(random))
                : item.limit;
            for (const auto &host : hosts) {
                target *found = host->find(instance_id("a"));
                const bool learnsNow =
                    item.event == change::None ? uniform(random) < 0.01 : number == 0 || isMidway;
                if (!found->namedLimit() && learnsNow)
                    found->recordLimit(limit, time.now(), time.now());
                const bool hasDemand = !isIdle && uniform(random) < item.demand / stepsPerSecond;
                const bool isKnown = found->namedLimit().has_value();
                if (!hasDemand || !isKnown
                    || found->timeUntilTurn(hostCount, time.now()) > duration::zero())
                    continue;
                found->recordSent(time.now());
                found->recordLimit(limit, time.now(), time.now());
                sendTimes.push_back(time.now());
            }
            time.advance(step);
        }
        const std::size_t maximumInWindow = tests::mostWithin(4s, sendTimes);
        // The platform's bound is one and a half times the limit plus five requests.
        CHECK(double(maximumInWindow) <= 1.5 * item.limit * 4 + 5);
        // Hosts with enough requests use the limit.
        const double busySeconds = item.event == change::IdleThenBusy ? 15 : 30;
        const double wanted = item.demand * double(item.hosts) * busySeconds;
        if (wanted > 4 * item.limit * busySeconds)
            CHECK(double(sendTimes.size()) >= 0.8 * item.limit * busySeconds);
    }
}

TEST_CASE("a limit ends with the answer to a request that was sent after it was last named")
{
    manual_clock time;
    target subject(makeRegistration("a"), time.now());
    CHECK(subject.timeUntilTurn(7, time.now()) == duration::zero());
    const time_point before = time.now();
    time.advance(10ms);
    CHECK(subject.recordLimit(30, before, time.now()));
    CHECK(subject.timeUntilTurn(7, time.now()) > duration::zero());
    time.advance(10ms);
    CHECK_FALSE(subject.recordLimit(std::nullopt, before, time.now()));
    CHECK(subject.namedLimit() == 30);
    CHECK_FALSE(subject.recordLimit(24.5, before, time.now()));
    CHECK(subject.namedLimit() == 24.5);
    const time_point after = time.now();
    time.advance(10ms);
    CHECK(subject.recordLimit(std::nullopt, after, time.now()));
    CHECK(subject.timeUntilTurn(7, time.now()) == duration::zero());
}

TEST_CASE("hosts that start together and know few others yet retry within the shared limit")
{
    struct row
    {
        std::string name;
        std::size_t hosts;
        std::size_t assumedMembers;
        shared_retry_limits limits;
    };
    const row rows[] = {
        {"seven hosts", 7, 8, {0.2, 54}},
        {"sixty hosts", 60, 8, {0.2, 160}},
        {"sixty hosts that have listed a part", 60, 20, {0.2, 160}},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        std::size_t retries = 0;
        for (std::size_t host = 0; host < item.hosts; ++host) {
            retry_budgets budgets(item.limits);
            budgets.setMemberCount(item.assumedMembers);
            while (budgets.of(bids).trySpend())
                ++retries;
        }
        CHECK(double(retries) <= item.limits.extraPerWindow);
        // Each host can retry once.
        CHECK(retries >= item.hosts);
    }
}

TEST_CASE("the retries of all hosts stay within the shared limit in every window")
{
    CHECK_PROPERTY("budgets", [](const std::vector<std::uint8_t> &events) {
        constexpr std::size_t hosts = 7;
        constexpr shared_retry_limits sharedLimits{0.2, 54};
        std::vector<retry_budgets> budgets(hosts, retry_budgets(sharedLimits));
        for (retry_budgets &hostBudgets : budgets)
            hostBudgets.setMemberCount(hosts);
        std::vector<int> requests;
        std::vector<int> retries;
        for (const std::uint8_t event : events) {
            limits::retry_budget &budget = budgets[event % hosts].of(bids);
            const bool isRequest = event % 3 != 0;
            if (isRequest)
                budget.earn(1);
            requests.push_back(isRequest ? 1 : 0);
            retries.push_back(!isRequest && budget.trySpend() ? 1 : 0);
        }
        // Any contiguous range of events is a window, so the maximum over all of them is checked.
        double maximumExcess = 0;
        double excess = 0;
        for (std::size_t i = 0; i < events.size(); ++i) {
            excess =
                std::max(0.0, excess) + retries[i] - sharedLimits.ratioPerRequest * requests[i];
            maximumExcess = std::max(maximumExcess, excess);
        }
        RC_ASSERT(maximumExcess <= sharedLimits.extraPerWindow);
    });
    // All hosts may spend their whole saved budgets in the same window.
    for (const std::size_t hosts : {std::size_t{1}, std::size_t{7}, std::size_t{67}}) {
        CAPTURE(hosts);
        constexpr shared_retry_limits sharedLimits{0.2, 174};
        std::size_t spentCount = 0;
        for (std::size_t host = 0; host < hosts; ++host) {
            retry_budgets budgets(sharedLimits);
            budgets.setMemberCount(hosts);
            budgets.of(bids).earn(10'000);
            while (budgets.of(bids).trySpend())
                ++spentCount;
        }
        CHECK(spentCount <= std::size_t(sharedLimits.extraPerWindow));
        CHECK(spentCount >= std::size_t(sharedLimits.extraPerWindow / 2));
    }
}

TEST_CASE("a budget that is in use follows a change of the shared limits")
{
    struct row
    {
        std::string name;
        shared_retry_limits after;
    };
    const row rows[] = {{"a higher ratio", {0.5, 54}},
                        {"a lower ratio", {0.1, 54}},
                        {"another constant", {0.2, 20}}};
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        const auto retriesAfterRequests = [](retry_budgets &budgets) {
            std::size_t retries = 0;
            while (budgets.of(bids).trySpend())
                ++retries;
            budgets.of(bids).earn(100);
            retries = 0;
            while (budgets.of(bids).trySpend())
                ++retries;
            return retries;
        };
        retry_budgets changed({0.2, 54});
        CHECK(retriesAfterRequests(changed) > 0);
        changed.setLimits(testCase.after);
        retry_budgets fresh(testCase.after);
        CHECK(retriesAfterRequests(changed) == retriesAfterRequests(fresh));
    }
}

TEST_CASE("a host that rarely sends to a target learns its slowness from one request")
{
    struct row
    {
        std::string name;
        duration sinceLast;
        double minimumSlowness;
        double maximumSlowness;
    };
    const row rows[] = {
        {"a request every 20 ms", 20ms, 1.2, 2.6},
        {"a request every four seconds", 4s, 3.5, 5.5},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        fixture f;
        f.directory.update(makeRegistration("a"));
        f.runRequest("a", target_observation::Success, typicalLatency);
        f.time.advance(item.sinceLast);
        f.runRequest("a", target_observation::Success, 8 * typicalLatency);
        const double slowness = f.directory.find(instance_id("a"))->slowness(f.time.now());
        CHECK(slowness >= item.minimumSlowness);
        CHECK(slowness <= item.maximumSlowness);
    }
}

TEST_CASE("a target at whose address another instance answers gets few requests")
{
    fixture f;
    f.directory.update(makeRegistration("a"));
    std::size_t sentCount = 0;
    // The target is the only one, and its registration stays as the store cannot be reached.
    for (int i = 0; i < 1000; ++i) {
        if (f.chooseTarget() == "a") {
            ++sentCount;
            f.runRequest("a", target_observation::Replaced, 1ms);
        }
        f.time.advance(10ms);
    }
    CHECK(sentCount >= 2);
    CHECK(sentCount <= 4);
    // A restart of the target ends this at once, as the target has registered again.
    f.directory.update(makeRegistration("a", riga, {2, 1}));
    CHECK(f.chooseTarget() == "a");
}

TEST_CASE("an open connection outweighs a few milliseconds of latency and no more")
{
    struct row
    {
        std::string name;
        std::set<instance_id> unconnectedTargets;
        duration latencyOfA;
        std::string expected;
    };
    const instance_id a("a");
    const instance_id b("b");
    const row rows[] = {
        {"only b is connected", {a}, typicalLatency, "b"},
        {"only a is connected", {b}, typicalLatency, "a"},
        {"the connected one is slow", {b}, 8 * typicalLatency, "b"},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        fixture f;
        f.directory.update(makeRegistration("a"));
        f.directory.update(makeRegistration("b"));
        for (int i = 0; i < 10; ++i)
            f.runRequest("a", target_observation::Success, item.latencyOfA);
        f.unconnectedTargets = item.unconnectedTargets;
        CHECK(f.chooseTarget() == item.expected);
    }
}
