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

member_record elsewhere(const std::string &host, std::uint16_t port,
                        std::uint64_t incarnationNumber)
{
    member_record other = record(host, incarnationNumber, 1);
    other.peerAddress = endpoint("127.0.0.1", port);
    return other;
}

std::optional<member_state> stateOf(const member_table &table, const char *host)
{
    for (const member_record &known : table.all()) {
        if (known.host == host_id(host))
            return known.state;
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("what a table believes after a sequence of records")
{
    struct row
    {
        const char *name;
        std::vector<member_record> records;
        std::optional<member_state> believed;
    };
    const row rows[] = {
        {"joins", {record("b", 1, 1)}, member_state::Alive},
        {"leaves",
         {record("b", 1, 1), record("b", 1, 2, member_state::Leaving)},
         member_state::Leaving},
        {"an older record does not bring it back",
         {record("b", 1, 5, member_state::Leaving), record("b", 1, 4)},
         member_state::Leaving},
        {"leaving is final in one life",
         {record("b", 1, 5, member_state::Leaving), record("b", 1, 6)},
         member_state::Leaving},
        {"a new life starts afresh",
         {record("b", 1, 5, member_state::Leaving), record("b", 2, 1)},
         member_state::Alive},
        {"an old life says nothing",
         {record("b", 2, 1), record("b", 1, 9, member_state::Leaving)},
         member_state::Alive},
        {"a rumour of failure is not taken over",
         {record("b", 1, 1), record("b", 1, 2, member_state::Failed)},
         member_state::Alive},
        {"a successor at the same address replaces it",
         {record("b", 1, 1), record("c", 2, 1)},
         std::nullopt},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        manual_clock clock;
        member_table table(elsewhere("a", 8299, 1), {});
        for (const member_record &received : item.records)
            table.merge({received}, clock.now());
        CHECK(stateOf(table, "b") == item.believed);
    }
}

TEST_CASE("a silent member fails, comes back with a heartbeat, and is forgotten at last")
{
    manual_clock clock;
    member_table table(elsewhere("a", 8299, 1), {});
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

TEST_CASE("a host that finds a later life of its own starts a still later one")
{
    manual_clock clock;
    member_table table(elsewhere("a", 8299, 1), {});
    table.merge({elsewhere("a", 8299, 4)}, clock.now());
    CHECK(table.self().incarnationNumber == incarnation(5));
}

TEST_CASE("a digest is bounded and starts with its sender")
{
    manual_clock clock;
    std::mt19937_64 random(1);
    member_table table(elsewhere("a", 8299, 1), {});
    for (std::uint16_t number = 0; number < 100; ++number)
        table.merge({elsewhere("h" + std::to_string(number), 9000 + number, 1)}, clock.now());
    const auto records = table.records(32, random);
    CHECK(records.size() == 32);
    CHECK(records.front().host == host_id("a"));
}

TEST_CASE("shared limits are divided by the greatest number of hosts that was seen lately")
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
        {"alone for long", {{1s, 1}}, 20s, 1},
        {"some have lapsed", {{1s, 7}, {20s, 3}}, 21s, 7},
        {"some have gone", {{1s, 7}, {20s, 3}}, 40s, 3},
        {"more have come", {{1s, 7}, {20s, 9}}, 21s, 9},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        manual_clock time;
        const time_point start = time.now();
        membership::member_estimate estimate(time, 8, 7s);
        for (const auto &[at, count] : item.counts) {
            time.advance(start + at - time.now());
            estimate.observe(count);
        }
        time.advance(start + item.at - time.now());
        CHECK(estimate.value() == item.expected);
    }
}
