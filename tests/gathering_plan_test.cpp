#include "property.h"

#include <mustardcourse/serving/gathering_plan.h>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

using namespace mustardcourse;
using namespace mustardcourse::serving;

namespace {

const data_centre_id riga("riga");
const data_centre_id jelgava("jelgava");
constexpr double strong = 0.5;
constexpr double weak = 0.12;

gatherer makeHost(const std::string &name, double cores, const data_centre_id &dataCentre = riga)
{
    return {host_id(name), dataCentre, endpoint("127.0.0.1", 7000), core_share(cores)};
}

std::vector<gatherer> makeHosts(std::size_t strongCount, std::size_t weakCount,
                                const data_centre_id &dataCentre = riga)
{
    std::vector<gatherer> hosts;
    for (std::size_t i = 0; i < strongCount; ++i)
        hosts.push_back(
            makeHost(fmt::format("{}-strong-{}", dataCentre.value(), i), strong, dataCentre));
    for (std::size_t i = 0; i < weakCount; ++i)
        hosts.push_back(
            makeHost(fmt::format("{}-weak-{}", dataCentre.value(), i), weak, dataCentre));
    return hosts;
}

gathering_plan planOf(const gatherer &ownHost, const std::vector<gatherer> &members)
{
    gathering_plan plan(ownHost);
    plan.setMembers(members);
    return plan;
}

/** Returns the first host of each part of a lookup that any of the hosts receives. */
std::map<std::pair<std::string, std::size_t>, std::string>
assignments(const std::vector<gatherer> &receivers, const std::vector<gatherer> &members,
            std::size_t shardCount)
{
    std::map<std::pair<std::string, std::size_t>, std::string> hosts;
    for (const gatherer &receiver : receivers) {
        gathering_plan plan = planOf(receiver, members);
        const auto &parts = plan.partsFor(shardCount);
        for (std::size_t part = 0; part < parts.size(); ++part)
            hosts[{receiver.host.value(), part}] = parts[part].hosts.front().host.value();
    }
    return hosts;
}

} // namespace

TEST_CASE("into how many parts a lookup is divided and who gathers them")
{
    struct row
    {
        std::string name;
        double ownCores;
        std::size_t strongHosts;
        std::size_t weakHosts;
        std::size_t shards;
        std::size_t parts;
        bool areGatherersStrong;
    };
    const row rows[] = {
        {"few shards", 0.25, 0, 6, 15, 0, false},
        {"few shards on a weak host", weak, 0, 60, 10, 0, false},
        {"many shards and strong hosts", weak, 3, 58, 90, 2, true},
        {"more shards", weak, 3, 58, 135, 3, true},
        {"one strong host gathers all shards", weak, 1, 20, 36, 1, true},
        {"no strong host", weak, 0, 60, 90, 6, false},
        {"a strong host receives the lookup", strong, 3, 58, 60, 0, true},
        {"too few strong hosts for the data centre", weak, 1, 60, 90, 6, false},
        {"few hosts in all", weak, 0, 2, 90, 3, false},
        {"no other host", weak, 0, 0, 90, 0, false},
    };
    for (const row &item : rows) {
        CAPTURE(item.name);
        std::vector<gatherer> members = makeHosts(item.strongHosts, item.weakHosts);
        const gatherer own = makeHost("own", item.ownCores);
        members.push_back(own);
        gathering_plan plan = planOf(own, members);
        const auto &parts = plan.partsFor(item.shards);
        CHECK(parts.size() == item.parts);
        for (const lookup_part &part : parts) {
            if (item.areGatherersStrong)
                CHECK(part.hosts.front().cores.value() == strong);
        }
    }
}

TEST_CASE("every shard of a lookup is in exactly one part of about equal size")
{
    CHECK_PROPERTY("for any numbers of hosts and shards", [] {
        const auto strongCount = *rc::gen::inRange<std::size_t>(0, 5);
        const auto weakCount = *rc::gen::inRange<std::size_t>(1, 80);
        const auto shardCount = *rc::gen::inRange<std::size_t>(1, 1500);
        const std::vector<gatherer> members = makeHosts(strongCount, weakCount);
        gathering_plan plan = planOf(members.back(), members);
        const auto &parts = plan.partsFor(shardCount);
        if (parts.empty())
            return;
        std::vector<std::size_t> seen(shardCount, 0);
        std::size_t smallest = shardCount;
        std::size_t largest = 0;
        for (const lookup_part &part : parts) {
            smallest = std::min(smallest, part.shards.size());
            largest = std::max(largest, part.shards.size());
            for (const std::size_t shard : part.shards)
                ++seen.at(shard);
            std::set<std::string> names;
            for (const gatherer &host : part.hosts)
                names.insert(host.host.value());
            RC_ASSERT(names.size() == part.hosts.size());
        }
        RC_ASSERT(std::all_of(seen.begin(), seen.end(), [](auto count) { return count == 1; }));
        RC_ASSERT(largest - smallest <= 1);
    });
}

TEST_CASE("hosts of one data centre agree on its gatherers and spread the parts over them")
{
    CHECK_PROPERTY("for any numbers of hosts and shards", [] {
        const auto strongCount = *rc::gen::inRange<std::size_t>(0, 6);
        const auto weakCount = *rc::gen::inRange<std::size_t>(2, 60);
        const auto shardCount = *rc::gen::inRange<std::size_t>(20, 400);
        const std::vector<gatherer> members = makeHosts(strongCount, weakCount);
        // Each part of each set has one first host, whoever asks.
        std::map<std::string, std::set<std::size_t>> partsOfHosts;
        std::size_t gatherersPerShard = 0;
        for (const gatherer &receiver : members) {
            gathering_plan plan = planOf(receiver, members);
            gatherersPerShard = plan.gatherersPerShard(shardCount);
            const auto &parts = plan.partsFor(shardCount);
            for (std::size_t part = 0; part < parts.size(); ++part)
                partsOfHosts[parts[part].hosts.front().host.value()].insert(part);
            const bool isFirst = std::any_of(parts.begin(), parts.end(), [&](const auto &part) {
                return part.hosts.front().host == receiver.host;
            });
            if (isFirst)
                RC_ASSERT(plan.isGatherer(shardCount));
        }
        std::size_t firstHosts = 0;
        for (const auto &[host, parts] : partsOfHosts)
            firstHosts += parts.size();
        RC_ASSERT(partsOfHosts.empty() || gatherersPerShard > 0);
        // No host has two parts of lookups while another one that is as strong has none.
        const bool isAnyTwice =
            std::any_of(partsOfHosts.begin(), partsOfHosts.end(),
                        [](const auto &entry) { return entry.second.size() > 1; });
        if (isAnyTwice)
            RC_ASSERT(firstHosts > partsOfHosts.size());
    });
}

TEST_CASE("a host that leaves moves about its own share of the parts")
{
    struct row
    {
        std::size_t strongHosts;
        std::size_t weakHosts;
        std::size_t shards;
        /** What may move on average, as a multiple of the parts of the host that leaves: those
            parts, and one other that gives way for each of them. */
        double maximumRatio;
    };
    const row rows[] = {{0, 60, 90, 2}, {0, 120, 135, 2}, {6, 58, 90, 2}, {0, 30, 200, 2}};
    for (const row &item : rows) {
        CAPTURE(item.weakHosts);
        CAPTURE(item.shards);
        const std::vector<gatherer> members = makeHosts(item.strongHosts, item.weakHosts);
        // Some hosts receive lookups; any host may leave.
        const std::vector<gatherer> receivers(members.end() - 10, members.end());
        const auto before = assignments(receivers, members, item.shards);
        std::size_t ownParts = 0;
        std::size_t movedParts = 0;
        for (const gatherer &leaving : members) {
            std::vector<gatherer> others = members;
            std::erase(others, leaving);
            std::vector<gatherer> otherReceivers = receivers;
            std::erase(otherReceivers, leaving);
            const auto after = assignments(otherReceivers, others, item.shards);
            for (const auto &[part, host] : after) {
                ownParts += before.at(part) == leaving.host.value() ? 1 : 0;
                movedParts += before.at(part) != host ? 1 : 0;
            }
        }
        REQUIRE(ownParts > 0);
        CHECK(static_cast<double>(movedParts) <= item.maximumRatio * static_cast<double>(ownParts));
    }
}

TEST_CASE("hosts whose data centre has no targets use gatherers where the targets are")
{
    struct row
    {
        std::string name;
        std::set<data_centre_id> targetDataCentres;
        std::set<data_centre_id> firstHosts;
        std::set<data_centre_id> nextHosts;
    };
    const data_centre_id liepaja("liepaja");
    const std::set<data_centre_id> others{riga, jelgava};
    const row rows[] = {
        {"no targets are known", {}, {liepaja}, {liepaja}},
        {"targets are here too", {riga, liepaja}, {liepaja}, {liepaja}},
        {"targets are elsewhere", others, others, others},
        {"targets are in one other data centre", {riga}, {riga}, {liepaja}},
        {"targets are where no hosts are", {data_centre_id("tukums")}, {liepaja}, {liepaja}},
    };
    std::vector<gatherer> members = makeHosts(3, 20, liepaja);
    for (const data_centre_id &dataCentre : others) {
        const std::vector<gatherer> hosts = makeHosts(3, 20, dataCentre);
        members.insert(members.end(), hosts.begin(), hosts.end());
    }
    for (const row &item : rows) {
        CAPTURE(item.name);
        std::set<data_centre_id> firstHosts;
        std::set<data_centre_id> nextHosts;
        for (std::size_t receiver = 3; receiver < 23; ++receiver) {
            gathering_plan plan = planOf(members[receiver], members);
            plan.setTargetDataCentres(item.targetDataCentres);
            std::vector<std::size_t> seen(90, 0);
            for (const lookup_part &part : plan.partsFor(90)) {
                REQUIRE(part.hosts.size() == 2);
                CHECK(part.hosts[0].host != part.hosts[1].host);
                firstHosts.insert(part.hosts[0].dataCentre);
                nextHosts.insert(part.hosts[1].dataCentre);
                for (const std::size_t shard : part.shards)
                    ++seen[shard];
            }
            CHECK(std::all_of(seen.begin(), seen.end(), [](auto count) { return count == 1; }));
        }
        CHECK(firstHosts == item.firstHosts);
        CHECK(nextHosts == item.nextHosts);
    }
}

TEST_CASE("how many hosts gather a shard counts all data centres")
{
    std::vector<gatherer> members = makeHosts(3, 58);
    gathering_plan plan = planOf(members.back(), members);
    CHECK(plan.gatherersPerShard(90) == 1);
    CHECK(plan.gatherersPerShard(10) == 0);
    const std::vector<gatherer> others = makeHosts(0, 60, jelgava);
    members.insert(members.end(), others.begin(), others.end());
    plan.setMembers(members);
    // Sixty weak hosts have four sets of gatherers.
    CHECK(plan.gatherersPerShard(90) == 5);
    CHECK(plan.isMember(host_id("jelgava-weak-3")));
    CHECK_FALSE(plan.isMember(host_id("jelgava-weak-60")));
    CHECK_FALSE(plan.isGatherer(90));
}
