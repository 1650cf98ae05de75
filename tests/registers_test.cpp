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
    const auto dataCentre = [](const char *name) { return data_centre_id(name); };
    return {service_id("lots"),
            team_id("auctions"),
            revision(1),
            {{{{target(1), dataCentre("riga-1")}, {target(2), dataCentre("riga-2")}}},
             {{{target(2), dataCentre("riga-2")}, {target(3), dataCentre("jelgava")}}}},
            {}};
}

membership::member_record member(const char *host, const char *dataCentre)
{
    membership::member_record record;
    record.host = host_id(host);
    record.dataCentre = data_centre_id(dataCentre);
    return record;
}

} // namespace

TEST_CASE("coverage counts a shard once")
{
    CHECK_PROPERTY("coverage", [](const std::vector<std::uint8_t> &answers) {
        coverage answeredShards(16);
        std::set<std::uint32_t> distinctShards;
        for (const std::uint8_t answer : answers) {
            const std::uint32_t shard = answer % 16;
            RC_ASSERT(answeredShards.record(shard_index(shard))
                      == distinctShards.insert(shard).second);
        }
        RC_ASSERT(answeredShards.answeredCount() == distinctShards.size());
        RC_ASSERT(answeredShards.missingShards().size() == 16 - distinctShards.size());
    });
}

TEST_CASE("the pinned version is the newest of those available on the most shards")
{
    using versions = std::vector<index_version>;
    struct row
    {
        const char *name;
        versions first, second, third;
        index_version expected;
    };
    const index_version one(1);
    const index_version two(2);
    const row rows[] = {
        {"no version reported", {}, {}, {}, index_version()},
        {"all hold both", {one, two}, {one, two}, {one, two}, two},
        {"newer version on one shard only", {one, two}, {one}, {one}, one},
        {"newer version on both shards through a replica", {one}, {one, two}, {one}, two},
        {"no version on both shards", {two}, {}, {one}, two},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        version_directory directory;
        directory.setHeldVersions(target(1), item.first);
        directory.setHeldVersions(target(2), item.second);
        directory.setHeldVersions(target(3), item.third);
        CHECK(directory.choose(twoShards()) == item.expected);
    }
}

TEST_CASE("only a replica that may receive new requests is chosen")
{
    struct row
    {
        const char *name;
        std::set<data_centre_id> evacuated;
        std::set<target_id> leaving;
        std::set<target_id> tried;
        std::optional<target_id> expected;
    };
    const data_centre_id riga1("riga-1");
    const data_centre_id riga2("riga-2");
    const row rows[] = {
        {"local data centre preferred", {}, {}, {}, target(1)},
        {"local data centre evacuated", {riga1}, {}, {}, target(2)},
        {"target leaving", {}, {target(1)}, {}, target(2)},
        {"target tried", {}, {}, {target(1)}, target(2)},
        {"all data centres evacuated", {riga1, riga2}, {}, {}, std::nullopt},
        {"one data centre evacuated, one target tried", {riga2}, {}, {target(1)}, std::nullopt},
    };
    version_directory directory;
    directory.setHeldVersions(target(1), {index_version(1)});
    directory.setHeldVersions(target(2), {index_version(1)});
    for (const row &item : rows) {
        CAPTURE(item.name);
        const auto chosen =
            routing::chooseReplica(twoShards().at(shard_index(0)), index_version(1), directory,
                                   {item.evacuated, item.leaving, item.tried}, riga1, 1);
        CHECK((chosen ? std::optional(chosen->target) : std::nullopt) == item.expected);
    }
}

TEST_CASE("homes are in the data centre of their target and change only with their host")
{
    std::vector<membership::member_record> members{member("a", "riga-1"), member("b", "riga-1"),
                                                   member("c", "riga-1"), member("d", "riga-2")};
    std::size_t changedHomeCount = 0;
    for (std::uint16_t number = 0; number < 300; ++number) {
        const replica replicaOfTarget{target(number), data_centre_id("riga-1")};
        const auto before = routing::homeOf(replicaOfTarget, members);
        REQUIRE(before);
        CHECK(before->dataCentre == data_centre_id("riga-1"));
        auto remainingMembers = members;
        std::erase_if(remainingMembers,
                      [](const auto &record) { return record.host == host_id("b"); });
        const auto after = routing::homeOf(replicaOfTarget, remainingMembers);
        if (before->host != host_id("b"))
            CHECK(after->host == before->host);
        else
            ++changedHomeCount;
    }
    CHECK(changedHomeCount > 60);
    CHECK(changedHomeCount < 140);
    CHECK(routing::homeOf({target(1), data_centre_id("nowhere")}, members).has_value());
    CHECK_FALSE(routing::homeOf({target(1), data_centre_id("riga-1")}, {}).has_value());
}

TEST_CASE("the merge result does not depend on the order of the shards")
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
