#include "property.h"

#include <mustardcourse/serving/retry_budgets.h>
#include <mustardcourse/serving/target_directory.h>

using namespace mustardcourse;
using namespace mustardcourse::serving;
using namespace std::chrono_literals;

namespace {

const service_id bids("bids");
const data_centre_id riga("riga");
const data_centre_id jelgava("jelgava");
constexpr duration usual = 10ms;

target_registration registered(const std::string &name, const data_centre_id &dataCentre = riga,
                               report_order order = {1, 1})
{
    target_registration made;
    made.instance = instance_id(name);
    made.service = bids;
    made.address = endpoint("127.0.0.1", 9000);
    made.dataCentre = dataCentre;
    made.slots = 2;
    made.order = order;
    return made;
}

struct fixture
{
    manual_clock time;
    /** Targets to which a connection would have to be opened. */
    std::set<instance_id> unconnected;
    target_directory directory{time, {riga, 8ms, host_id("host")}};

    std::string chosen(const std::vector<instance_id> &tried = {})
    {
        const target *best = directory.choose({bids, usual, tried}, [&](const target &candidate) {
            const auto &instance = candidate.registration().instance;
            return std::optional(unconnected.contains(instance) ? 10ms : duration::zero());
        });
        return best == nullptr ? "none" : best->registration().instance.value();
    }

    void finish(const std::string &name, target_observation evidence, duration took)
    {
        target *known = directory.find(instance_id(name));
        const time_point sent = time.now();
        known->recordSent(sent);
        time.advance(took);
        known->recordOutcome(evidence, sent, time.now(), usual);
    }
};

} // namespace

TEST_CASE("which reports of a target count")
{
    struct row
    {
        std::string name;
        report_order first;
        report_order second;
        bool isSecondTaken;
    };
    const row rows[] = {
        {"a later count", {5, 1}, {5, 2}, true},
        {"an earlier count, delivered late", {5, 7}, {5, 6}, false},
        {"a new start counts anew", {5, 7}, {6, 1}, true},
        {"an earlier start", {6, 1}, {5, 9}, false},
    };
    for (const row &item : rows) {
        for (const bool isRemovedBetween : {false, true}) {
            CAPTURE(item.name);
            CAPTURE(isRemovedBetween);
            fixture f;
            f.directory.update(registered("a", riga, item.first));
            if (isRemovedBetween)
                f.directory.remove(instance_id("a"));
            target_registration second = registered("a", riga, item.second);
            second.isLeaving = true;
            f.directory.update(second);
            const target *known = f.directory.find(instance_id("a"));
            CHECK((known != nullptr && known->registration().isLeaving) == item.isSecondTaken);
        }
    }
}

TEST_CASE("a target that leaves, is evacuated, was tried or is gone gets nothing")
{
    struct row
    {
        std::string name;
        void (*change)(fixture &);
        std::vector<instance_id> tried;
        std::string expected;
    };
    const row rows[] = {
        {"nothing", [](fixture &) {}, {}, "a"},
        {"it leaves",
         [](fixture &f) {
             target_registration leaving = registered("a", riga, {1, 2});
             leaving.isLeaving = true;
             f.directory.update(leaving);
         },
         {},
         "b"},
        {"it is gone", [](fixture &f) { f.directory.remove(instance_id("a")); }, {}, "b"},
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
        {"a listing without it",
         [](fixture &f) { f.directory.retainOnly({instance_id("b")}); },
         {},
         "b"},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        fixture f;
        f.directory.update(registered("a", riga));
        f.directory.update(registered("b", jelgava));
        item.change(f);
        CHECK(f.chosen(item.tried) == item.expected);
    }
}

TEST_CASE("what a host learns from its own requests moves its choice, and is forgotten")
{
    struct row
    {
        std::string name;
        target_observation evidence;
        duration took;
        int times;
        std::string expected;
    };
    const row rows[] = {
        {"usual", target_observation::Success, usual, 20, "a"},
        {"slow", target_observation::Success, 80ms, 20, "b"},
        {"refuses", target_observation::Refused, 1ms, 20, "b"},
        {"fails", target_observation::Failure, 1ms, 2, "b"},
        {"failed once", target_observation::Failure, 1ms, 1, "b"},
        {"stalled before it was given up", target_observation::Cancelled, 120ms, 20, "b"},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        fixture f;
        f.directory.update(registered("a", riga));
        f.directory.update(registered("b", jelgava));
        for (int i = 0; i < item.times; ++i)
            f.finish("a", item.evidence, item.took);
        CHECK(f.chosen() == item.expected);
        const bool isSlow = item.took > usual;
        f.time.advance(30s);
        if (isSlow)
            CHECK(f.chosen() == "a");
    }
}

TEST_CASE("a target has room while a request would end in time, and when it is idle")
{
    struct row
    {
        std::string name;
        std::size_t inFlight;
        reported_load load;
        bool isSlow;
        duration pause;
        bool expected;
    };
    const row rows[] = {
        {"idle", 0, {}, false, 0ms, true},
        {"some work", 2, {2, 0, 2}, false, 0ms, true},
        {"a long queue", 1, {2, 18, 2}, false, 0ms, false},
        {"idle and slow, asked a moment ago", 0, {}, true, 0ms, false},
        {"idle and slow, not asked for a while", 0, {}, true, 300ms, true},
        {"busy and slow", 2, {}, true, 300ms, false},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        fixture f;
        f.directory.update(registered("a"));
        for (int i = 0; i < (item.isSlow ? 30 : 0); ++i)
            f.finish("a", target_observation::Success, 110ms);
        f.time.advance(item.pause);
        target *known = f.directory.find(instance_id("a"));
        for (std::size_t i = 0; i < item.inFlight; ++i)
            known->recordSent(f.time.now());
        if (item.load.running > 0)
            known->recordLoad(item.load, f.time.now());
        CHECK(known->hasCapacity(usual, 64ms, f.time.now()) == item.expected);
    }
}

TEST_CASE("a cold target gets at most its rate and one request a host in any second")
{
    struct row
    {
        std::string name;
        std::size_t hosts;
        double rate;
    };
    const row rows[] = {
        {"few hosts", 3, 20}, {"today's hosts", 7, 10}, {"more hosts than requests", 10, 4}};
    for (const row &item : rows) {
        CAPTURE(item.name);
        manual_clock time;
        std::vector<std::unique_ptr<target_directory>> hosts;
        for (std::size_t i = 0; i < item.hosts; ++i) {
            hosts.push_back(std::make_unique<target_directory>(
                time, placement_parameters{riga, 8ms, host_id("host-" + std::to_string(i))}));
            target_registration cold = registered("a");
            cold.remainingColdTime = 60s;
            hosts.back()->update(cold);
        }
        std::vector<time_point> sent;
        for (int step = 0; step < 4000; ++step) {
            for (const auto &host : hosts) {
                target *known = host->find(instance_id("a"));
                if (!known->maySendWhileCold(item.rate, item.hosts, time.now()))
                    continue;
                known->recordSent(time.now());
                sent.push_back(time.now());
            }
            time.advance(5ms);
        }
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
            while (sent[last] - sent[first] >= 1s)
                ++first;
            most = std::max(most, last - first + 1);
        }
        CHECK(double(most) <= item.rate + double(item.hosts));
        // The platform's bound: half as much again and five more.
        CHECK(double(most) <= 1.5 * item.rate + 5);
        CHECK(double(sent.size()) >= 0.8 * 20 * item.rate);
    }
}

TEST_CASE("the hosts' retries stay within the shared bound in every window")
{
    CHECK_PROPERTY("budgets", [](const std::vector<std::uint8_t> &events) {
        constexpr std::size_t hosts = 7;
        constexpr shared_retry_limits terms{0.2, 54};
        std::vector<retry_budgets> budgets(hosts, retry_budgets(terms));
        for (retry_budgets &each : budgets)
            each.setMemberCount(hosts);
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
        // Any stretch of the events is a window, so the worst one is looked for.
        double worst = 0;
        double open = 0;
        for (std::size_t i = 0; i < events.size(); ++i) {
            open = std::max(0.0, open) + retries[i] - terms.ratioPerRequest * requests[i];
            worst = std::max(worst, open);
        }
        RC_ASSERT(worst <= terms.extraPerWindow);
    });
    // All that hosts have saved up may be spent in the same window.
    for (const std::size_t hosts : {std::size_t{1}, std::size_t{7}, std::size_t{67}}) {
        CAPTURE(hosts);
        constexpr shared_retry_limits terms{0.2, 174};
        std::size_t spent = 0;
        for (std::size_t host = 0; host < hosts; ++host) {
            retry_budgets budgets(terms);
            budgets.setMemberCount(hosts);
            budgets.of(bids).earn(10'000);
            while (budgets.of(bids).trySpend())
                ++spent;
        }
        CHECK(spent <= std::size_t(terms.extraPerWindow));
        CHECK(spent >= std::size_t(terms.extraPerWindow / 2));
    }
}

TEST_CASE("a host that asks a target rarely learns its speed from one request")
{
    struct row
    {
        std::string name;
        duration sinceLast;
        double least;
        double most;
    };
    const row rows[] = {
        {"asked all the time", 20ms, 1.2, 2.6},
        {"asked once in four seconds", 4s, 3.5, 5.5},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        fixture f;
        f.directory.update(registered("a"));
        f.finish("a", target_observation::Success, usual);
        f.time.advance(item.sinceLast);
        // Eight times the usual latency.
        f.finish("a", target_observation::Success, 8 * usual);
        const double learned = f.directory.find(instance_id("a"))->slowness(f.time.now());
        CHECK(learned >= item.least);
        CHECK(learned <= item.most);
    }
}

TEST_CASE(
    "a target at whose address another instance answers is left alone, not asked again and again")
{
    fixture f;
    f.directory.update(registered("a"));
    std::size_t asked = 0;
    // The store cannot be reached, so that the registration stays, and it is the only one.
    for (int i = 0; i < 1000; ++i) {
        if (f.chosen() == "a") {
            ++asked;
            f.finish("a", target_observation::Replaced, 1ms);
        }
        f.time.advance(10ms);
    }
    CHECK(asked >= 2);
    CHECK(asked <= 4);
    // A new start of the target counts at once, as it has registered again.
    f.directory.update(registered("a", riga, {2, 1}));
    CHECK(f.chosen() == "a");
}

TEST_CASE("a kept connection is worth a few milliseconds, and no more")
{
    struct row
    {
        std::string name;
        std::set<instance_id> unconnected;
        duration tookOfA;
        std::string chosen;
    };
    const instance_id a("a");
    const instance_id b("b");
    const row rows[] = {
        {"only b is connected", {a}, usual, "b"},
        {"only a is connected", {b}, usual, "a"},
        {"the connected one is slow", {b}, 8 * usual, "b"},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        fixture f;
        f.directory.update(registered("a"));
        f.directory.update(registered("b"));
        for (int i = 0; i < 10; ++i)
            f.finish("a", target_observation::Success, item.tookOfA);
        f.unconnected = item.unconnected;
        CHECK(f.chosen() == item.chosen);
    }
}
