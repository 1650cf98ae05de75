#include "host_list_server.h"
#include "target_server.h"

#include <mustardcourse/platform/host_list_client.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace mustardcourse;
using namespace mustardcourse::standins;

namespace {

using namespace std::chrono_literals;

const endpoint targetAddress("127.0.0.1", 20961);
const endpoint listAddress("127.0.0.1", 20962);

struct single_target
{
    explicit single_target(target_behaviour behaviour)
        : server(loop, clock, targetAddress, std::move(behaviour), 25, 1)
    { }

    wire::outgoing_request search(duration timeout = 1s, int version = 1, int of = 6) const
    {
        wire::outgoing_request request;
        request.path =
            "/v1/search?service=lots&shard=2&limit=3&id=x&q=chairs&budget_us=500000&version="
            + std::to_string(version) + "&of=" + std::to_string(of);
        request.timeout = timeout;
        return request;
    }

    system_clock clock;
    wire::event_loop loop;
    target_server server;
};

} // namespace

TEST_CASE("a stand-in target answers a search according to its state")
{
    struct row
    {
        const char *name;
        target_behaviour behaviour;
        int version;
        int of;
        int status;
    };
    const row rows[] = {
        {"serving", {}, 1, 6, 200},
        {"version not held", {}, 2, 6, 410},
        {"different shard count", {.shardCount = 5}, 1, 6, 409},
        {"no free slot", {.slots = 0}, 1, 6, 503},
        {"cold without load", {.coldSearches = 10}, 1, 6, 200},
        {"cold and overloaded", {.coldSlots = 0, .coldSearches = 10}, 1, 6, 503},
        {"budget exceeded", {.serviceTime = 600ms}, 1, 6, 504},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        single_target target(item.behaviour);
        wire::http_connection connection(target.loop, targetAddress);
        const auto result =
            target.loop.run(connection.exchange(target.search(1s, item.version, item.of)));
        CHECK(result.response.status == item.status);
        const auto body = nlohmann::json::parse(result.response.body);
        CHECK(body["held"] == nlohmann::json::array({1}));
        CHECK(body["incarnation"] == 1);
    }
}

TEST_CASE(
    "a stand-in target cancels the search of a closed connection and is overloaded only when cold")
{
    single_target target({.slots = 2, .coldSearches = 1, .serviceTime = 300ms});
    wire::http_connection first(target.loop, targetAddress);
    wire::http_connection second(target.loop, targetAddress);
    auto running = first.exchange(target.search());
    target.loop.run(target.loop.sleep(20ms));
    CHECK(target.loop.run(second.exchange(target.search())).response.status == 503);
    CHECK(target.server.records().coldOverloads == 1);
    running = nullptr;
    target.loop.run(target.loop.sleep(50ms));
    CHECK(target.server.records().cancelled == 1);
    CHECK(target.server.records().peakRunningCold == 1);
}

TEST_CASE("the host list publishes a change after its lag and its client skips invalid entries")
{
    system_clock clock;
    wire::event_loop loop;
    host_list_server server(loop, clock, listAddress, 100ms);
    platform::host_list_client client(loop, listAddress, 1s);
    server.publish(R"({"hosts":[{"host":"a","data_centre":"riga-1","peer":"10.0.0.1:8201"},
                                {"host":"b","data_centre":"riga-1","peer":"somewhere"}]})");
    CHECK(loop.run(client.fetch())->empty());
    loop.run(loop.sleep(150ms));
    const auto hosts = loop.run(client.fetch());
    REQUIRE(hosts);
    REQUIRE(hosts->size() == 1);
    CHECK(hosts->front().host == host_id("a"));
    CHECK_FALSE(hosts->front().isLeaving);
    server.publish("nonsense");
    loop.run(loop.sleep(150ms));
    CHECK_FALSE(loop.run(client.fetch()).has_value());
}
