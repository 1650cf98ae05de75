#include "property.h"

#include <mustardcourse/serving/configuration.h>
#include <mustardcourse/serving/records.h>
#include <mustardcourse/serving/route_statistics.h>

#include <algorithm>

using namespace mustardcourse;
using namespace mustardcourse::serving;
using namespace std::chrono_literals;

namespace {

route routeOf(const std::string &name, const std::string &hostName, const std::string &prefix)
{
    route created;
    created.name = route_id(name);
    created.hostName = hostName;
    created.pathPrefix = prefix;
    return created;
}

} // namespace

TEST_CASE("a request is matched to the route of its host name with the longest path prefix")
{
    const configuration active(configuration_version(1),
                               {routeOf("short", "one.example", "/a/"),
                                routeOf("long", "one.example", "/a/b/"),
                                routeOf("other", "two.example", "/a/b/")},
                               {}, {});
    struct row
    {
        std::string hostName;
        std::string path;
        std::string expected;
    };
    const row rows[] = {
        {"one.example", "/a/x", "short"},      {"one.example", "/a/b/x", "long"},
        {"ONE.example:8080", "/a/b/", "long"}, {"two.example", "/a/b/c/d", "other"},
        {"two.example", "/a/", "none"},        {"three.example", "/a/", "none"},
        {"one.example", "/a", "none"},         {"one.example", "/q?/a/b/", "none"},
    };
    for (const row &item : rows) {
        CAPTURE(item.hostName);
        CAPTURE(item.path);
        const route *matchedRoute = active.match(item.hostName, item.path);
        CHECK((matchedRoute == nullptr ? "none" : matchedRoute->name.value()) == item.expected);
    }
}

TEST_CASE("requests are distributed by weight without long runs")
{
    CHECK_PROPERTY("rotation", [] {
        const auto weights = *rc::gen::nonEmpty(
            rc::gen::container<std::vector<std::uint8_t>>(rc::gen::inRange<std::uint8_t>(1, 20)));
        std::vector<weighted_service> services;
        double total = 0;
        for (std::size_t i = 0; i < weights.size(); ++i) {
            services.push_back({service_id(std::to_string(i)), double(weights[i])});
            total += weights[i];
        }
        weighted_round_robin roundRobin;
        std::vector<double> counts(services.size());
        constexpr int requests = 400;
        for (int i = 0; i < requests; ++i)
            ++counts[std::stoul(roundRobin.next(services).value())];
        for (std::size_t i = 0; i < services.size(); ++i) {
            const double share = requests * services[i].weight / total;
            RC_ASSERT(std::abs(counts[i] - share) <= double(services.size()));
        }
    });
}

TEST_CASE(
    "requests are distributed by the weights of the newest configuration from its first one on")
{
    using services = std::vector<weighted_service>;
    const auto serviceNamed = [](const char *name, double weight) {
        return weighted_service{service_id(name), weight};
    };
    struct row
    {
        std::string name;
        services before;
        services after;
    };
    const row rows[] = {
        {"a service gets no more requests",
         {serviceNamed("a", 1), serviceNamed("b", 1)},
         {serviceNamed("a", 1), serviceNamed("b", 0)}},
        {"a rare service gets no more requests",
         {serviceNamed("a", 9), serviceNamed("b", 1)},
         {serviceNamed("a", 9), serviceNamed("b", 0)}},
        {"the services change places",
         {serviceNamed("a", 9), serviceNamed("b", 1)},
         {serviceNamed("b", 1), serviceNamed("a", 9)}},
        {"the weights change places",
         {serviceNamed("a", 90), serviceNamed("b", 1)},
         {serviceNamed("a", 1), serviceNamed("b", 90)}},
        {"another service",
         {serviceNamed("a", 9), serviceNamed("b", 1)},
         {serviceNamed("a", 9), serviceNamed("c", 1)}},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        for (int requestsBefore = 0; requestsBefore < 100; ++requestsBefore) {
            CAPTURE(requestsBefore);
            weighted_round_robin changed;
            for (int i = 0; i < requestsBefore; ++i)
                changed.next(testCase.before);
            weighted_round_robin fresh;
            for (int i = 0; i < 100; ++i)
                REQUIRE(changed.next(testCase.after) == fresh.next(testCase.after));
        }
    }
    weighted_round_robin roundRobin;
    for (int i = 0; i < 10; ++i)
        CHECK(roundRobin.next({serviceNamed("a", 0), serviceNamed("b", 1)}) == service_id("b"));
}

TEST_CASE("merged records are the greatest in descending order with duplicates kept")
{
    CHECK_PROPERTY("records", [](const std::vector<std::string> &bodies, std::uint8_t count) {
        std::vector<std::string_view> views(bodies.begin(), bodies.end());
        std::vector<std::string> sorted;
        for (const std::string &body : bodies) {
            for (std::size_t offset = 0; offset + recordBytes <= body.size(); offset += recordBytes)
                sorted.push_back(body.substr(offset, recordBytes));
        }
        std::sort(sorted.begin(), sorted.end(), [](const auto &left, const auto &right) {
            return std::lexicographical_compare(
                right.begin(), right.end(), left.begin(), left.end(), [](char a, char b) {
                    return static_cast<unsigned char>(a) < static_cast<unsigned char>(b);
                });
        });
        std::string expected;
        for (std::size_t i = 0; i < std::min<std::size_t>(count, sorted.size()); ++i)
            expected += sorted[i];
        RC_ASSERT(greatestRecords(views, count) == expected);
    });
    const std::string low(recordBytes, '\x01');
    const std::string high(recordBytes, '\xff');
    CHECK(greatestRecords({low + high, high + "rest"}, 3) == high + high + low);
}

TEST_CASE("a hedge is late enough to be rare and early enough to end in time")
{
    struct row
    {
        std::string name;
        duration remainingTime;
        duration minimum;
        duration maximum;
    };
    const row rows[] = {
        {"much time", 200ms, 9ms, 40ms},
        {"little time", 16ms, 4ms, 12ms},
        {"no time", 0ms, 4ms, 12ms},
    };
    route_statistics statistics(150ms);
    for (int i = 0; i < 500; ++i)
        statistics.recordAttempt(i % 20 == 0 ? 100ms : 6ms);
    for (const row &item : rows) {
        CAPTURE(item.name);
        const hedge_window window = statistics.hedgeWindow(item.remainingTime);
        CHECK(window.latest >= item.minimum - 5ms);
        CHECK(window.latest <= item.maximum);
        CHECK(window.earliest >= 4ms);
        CHECK(window.earliest <= window.latest);
    }
}

TEST_CASE("progress of the hedge window from the earliest to the latest time")
{
    struct row
    {
        std::string name;
        duration sinceFirst;
        double progress;
    };
    const hedge_window window{10ms, 30ms};
    const row rows[] = {
        {"too early", 4ms, 0}, {"earliest", 10ms, 0}, {"between", 20ms, 0.5},
        {"latest", 30ms, 1},   {"later", 90ms, 1},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        CHECK(window.progressAt(item.sinceFirst) == doctest::Approx(item.progress));
    }
}

TEST_CASE("statistics of a route without attempts follow a change of its objective")
{
    route_statistics statistics(40ms);
    statistics.setObjective(800ms);
    const route_statistics fresh(800ms);
    CHECK(statistics.medianLatency() == fresh.medianLatency());
    CHECK(statistics.hedgeWindow(800ms).earliest == fresh.hedgeWindow(800ms).earliest);
}

TEST_CASE("initial statistics of a route are derived from its objective")
{
    for (const duration objective : {duration(40ms), duration(800ms)}) {
        CAPTURE(objective.count());
        const route_statistics statistics(objective);
        CHECK(statistics.medianLatency() > objective / 10);
        CHECK(statistics.medianLatency() < objective / 4);
        const hedge_window window = statistics.hedgeWindow(objective);
        CHECK(window.earliest > statistics.medianLatency());
        CHECK(window.latest < objective / 2);
    }
}
