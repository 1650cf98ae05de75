#include "property.h"

#include <mustardcourse/registers/coverage.h>
#include <mustardcourse/registers/version_directory.h>
#include <mustardcourse/requests/merge.h>
#include <mustardcourse/routing/rendezvous.h>
#include <mustardcourse/routing/replica_choice.h>

#include <algorithm>

using namespace mustardcourse;
using namespace mustardcourse::registers;

namespace {

target_id target(std::uint16_t number)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(9000 + number)};
}

/** Two shards: the first on targets 1 and 2, the second on targets 2 and 3. */
shard_map twoShards()
{
    const auto place = [](const char *name) { return data_centre_id(name); };
    return {service_id("lots"),
            team_id("auctions"),
            revision(1),
            {{{{target(1), place("riga-1")}, {target(2), place("riga-2")}}},
             {{{target(2), place("riga-2")}, {target(3), place("jelgava")}}}},
            {}};
}

membership::member_record member(const char *host, const char *place)
{
    membership::member_record record;
    record.host = host_id(host);
    record.dataCentre = data_centre_id(place);
    return record;
}

} // namespace

TEST_CASE("coverage counts a shard once")
{
    CHECK_PROPERTY("coverage", [](const std::vector<std::uint8_t> &answers) {
        coverage covered(16);
        std::set<std::uint32_t> seen;
        for (const std::uint8_t answer : answers) {
            const std::uint32_t shard = answer % 16;
            RC_ASSERT(covered.record(shard_index(shard)) == seen.insert(shard).second);
        }
        RC_ASSERT(covered.answeredCount() == seen.size());
        RC_ASSERT(covered.missingShards().size() == 16 - seen.size());
    });
}

TEST_CASE("the pinned version is the newest of those that cover the most shards")
{
    using versions = std::vector<index_version>;
    struct row
    {
        const char *name;
        versions first, second, third;
        index_version chosen;
    };
    const index_version one(1);
    const index_version two(2);
    const row rows[] = {
        {"nothing known", {}, {}, {}, index_version()},
        {"all hold both", {one, two}, {one, two}, {one, two}, two},
        {"new one on one shard only", {one, two}, {one}, {one}, one},
        {"new one covers both through a replica", {one}, {one, two}, {one}, two},
        {"no version covers all", {two}, {}, {one}, two},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        version_directory directory;
        directory.setHeldVersions(target(1), item.first);
        directory.setHeldVersions(target(2), item.second);
        directory.setHeldVersions(target(3), item.third);
        CHECK(directory.choose(twoShards()) == item.chosen);
    }
}

TEST_CASE("a replica is chosen only where new work may go")
{
    struct row
    {
        const char *name;
        std::set<data_centre_id> out;
        std::set<target_id> leaving;
        std::set<target_id> tried;
        std::optional<target_id> chosen;
    };
    const data_centre_id riga1("riga-1");
    const data_centre_id riga2("riga-2");
    const row rows[] = {
        {"own data centre first", {}, {}, {}, target(1)},
        {"own data centre out", {riga1}, {}, {}, target(2)},
        {"target leaving", {}, {target(1)}, {}, target(2)},
        {"target tried", {}, {}, {target(1)}, target(2)},
        {"all out", {riga1, riga2}, {}, {}, std::nullopt},
        {"one out, one tried", {riga2}, {}, {target(1)}, std::nullopt},
    };
    version_directory directory;
    directory.setHeldVersions(target(1), {index_version(1)});
    directory.setHeldVersions(target(2), {index_version(1)});
    for (const row &item : rows) {
        CAPTURE(item.name);
        const auto chosen =
            routing::chooseReplica(twoShards().at(shard_index(0)), index_version(1), directory,
                                   {item.out, item.leaving, item.tried}, riga1, 1);
        CHECK((chosen ? std::optional(chosen->target) : std::nullopt) == item.chosen);
    }
}

TEST_CASE("homes are in the target's data centre and move only with their host")
{
    std::vector<membership::member_record> members{member("a", "riga-1"), member("b", "riga-1"),
                                                   member("c", "riga-1"), member("d", "riga-2")};
    std::size_t moved = 0;
    for (std::uint16_t number = 0; number < 300; ++number) {
        const replica copy{target(number), data_centre_id("riga-1")};
        const auto before = routing::homeOf(copy, members);
        REQUIRE(before);
        CHECK(before->dataCentre == data_centre_id("riga-1"));
        auto fewer = members;
        std::erase_if(fewer, [](const auto &record) { return record.host == host_id("b"); });
        const auto after = routing::homeOf(copy, fewer);
        if (before->host != host_id("b"))
            CHECK(after->host == before->host);
        else
            ++moved;
    }
    CHECK(moved > 60);
    CHECK(moved < 140);
    CHECK(routing::homeOf({target(1), data_centre_id("nowhere")}, members).has_value());
    CHECK_FALSE(routing::homeOf({target(1), data_centre_id("riga-1")}, {}).has_value());
}

TEST_CASE("the merge does not depend on the order of the shards")
{
    CHECK_PROPERTY("merge", [](std::vector<std::vector<std::uint8_t>> shards) {
        const auto mergeAll = [](const std::vector<std::vector<std::uint8_t>> &parts) {
            requests::hit_merger merger(5);
            std::uint32_t shard = 0;
            for (const auto &part : parts) {
                std::vector<requests::hit> hits;
                for (const std::uint8_t score : part)
                    hits.push_back({std::to_string(score), static_cast<double>(score / 4), ""});
                merger.add(std::move(hits));
                ++shard;
            }
            return merger.take();
        };
        const auto forward = mergeAll(shards);
        std::reverse(shards.begin(), shards.end());
        RC_ASSERT(mergeAll(shards) == forward);
        RC_ASSERT(forward.size() <= 5U);
    });
}
