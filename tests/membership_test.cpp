#include "property.h"

#include <mustardcourse/membership/member_estimate.h>
#include <mustardcourse/membership/member_table.h>

#include <optional>

using namespace mustardcourse;
using namespace mustardcourse::membership;

namespace {

member_record record(const std::string &host, std::uint64_t incarnationNumber,
                     std::uint64_t heartbeat, member_state state = member_state::Alive)
{
    return {host_id(host),
            data_centre_id("riga-1"),
            endpoint("127.0.0.1", 8201),
            incarnation(incarnationNumber),
            heartbeat,
            state};
}

member_record recordAtPort(const std::string &host, std::uint16_t port,
                           std::uint64_t incarnationNumber)
{
    member_record other = record(host, incarnationNumber, 1);
    other.peerAddress = endpoint("127.0.0.1", port);
    return other;
}

std::optional<member_state> stateOf(const member_table &table, const char *host)
{
    for (const member_record &member : table.all()) {
        if (member.host == host_id(host))
            return member.state;
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("the state of a member after a sequence of records")
{
    struct row
    {
        const char *name;
        std::vector<member_record> records;
        std::optional<member_state> expectedState;
    };
    const row rows[] = {
        {"joins", {record("b", 1, 1)}, member_state::Alive},
        {"leaves",
         {record("b", 1, 1), record("b", 1, 2, member_state::Leaving)},
         member_state::Leaving},
        {"an older record does not bring it back",
         {record("b", 1, 5, member_state::Leaving), record("b", 1, 4)},
         member_state::Leaving},
        {"leaving is final within one incarnation",
         {record("b", 1, 5, member_state::Leaving), record("b", 1, 6)},
         member_state::Leaving},
        {"a new incarnation replaces the state",
         {record("b", 1, 5, member_state::Leaving), record("b", 2, 1)},
         member_state::Alive},
        {"a record of an old incarnation is ignored",
         {record("b", 2, 1), record("b", 1, 9, member_state::Leaving)},
         member_state::Alive},
        {"a reported failure is ignored",
         {record("b", 1, 1), record("b", 1, 2, member_state::Failed)},
         member_state::Alive},
        {"a successor at the same address replaces it",
         {record("b", 1, 1), record("c", 2, 1)},
         std::nullopt},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        manual_clock clock;
        member_table table(recordAtPort("a", 8299, 1), {});
        for (const member_record &received : testCase.records)
            table.merge({received}, clock.now());
        CHECK(stateOf(table, "b") == testCase.expectedState);
    }
}

TEST_CASE("a silent member fails and recovers with a heartbeat and is eventually removed")
{
    manual_clock clock;
    member_table table(recordAtPort("a", 8299, 1), {});
    table.merge({record("b", 1, 1)}, clock.now());
    clock.advance(std::chrono::seconds(3));
    table.merge({record("b", 1, 1)}, clock.now());
    table.tick(clock.now());
    CHECK(stateOf(table, "b") == member_state::Failed);
    CHECK(table.serving().size() == 1);
    table.merge({record("b", 1, 2)}, clock.now());
    CHECK(stateOf(table, "b") == member_state::Alive);
    clock.advance(std::chrono::minutes(3));
    table.tick(clock.now());
    CHECK(stateOf(table, "b") == std::nullopt);
}

TEST_CASE("a host that receives a later incarnation of its own takes the next one")
{
    manual_clock clock;
    member_table table(recordAtPort("a", 8299, 1), {});
    table.merge({recordAtPort("a", 8299, 4)}, clock.now());
    CHECK(table.self().incarnationNumber == incarnation(5));
}

TEST_CASE("a digest of records is bounded and starts with the sender")
{
    manual_clock clock;
    std::mt19937_64 random(1);
    member_table table(recordAtPort("a", 8299, 1), {});
    for (std::uint16_t number = 0; number < 100; ++number)
        table.merge({recordAtPort("h" + std::to_string(number), 9000 + number, 1)}, clock.now());
    const auto records = table.records(32, random);
    CHECK(records.size() == 32);
    CHECK(records.front().host == host_id("a"));
}

TEST_CASE("shared limits are divided by the maximum number of hosts in a recent window")
{
    using namespace std::chrono_literals;
    struct row
    {
        std::string name;
        std::vector<std::pair<std::chrono::seconds, std::size_t>> counts;
        std::chrono::seconds at;
        std::size_t expected;
    };
    const row rows[] = {
        {"just started", {}, 0s, 8},
        {"just started and alone", {{1s, 1}}, 2s, 8},
        {"alone for a long time", {{1s, 1}}, 20s, 1},
        {"some leases have expired", {{1s, 7}, {20s, 3}}, 21s, 7},
        {"some have left", {{1s, 7}, {20s, 3}}, 40s, 3},
        {"more have joined", {{1s, 7}, {20s, 9}}, 21s, 9},
    };
    for (const row &testCase : rows) {
        CAPTURE(testCase.name);
        manual_clock time;
        const time_point start = time.now();
        membership::member_estimate estimate(time, {.minimumCount = 8, .window = 7s});
        for (const auto &[at, count] : testCase.counts) {
            time.advance(start + at - time.now());
            estimate.observe(count);
        }
        time.advance(start + testCase.at - time.now());
        CHECK(estimate.value() == testCase.expected);
    }
}
