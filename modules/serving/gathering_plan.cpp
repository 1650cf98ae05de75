#include <mustardcourse/serving/gathering_plan.h>

#include <mustardcourse/core/hash.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <tuple>

namespace mustardcourse::serving {

namespace {

/** Number of layouts that are kept; configurations have few different numbers of shards. */
constexpr std::size_t maximumLayouts = 64;

std::uint64_t rankOf(const host_id &host, std::uint64_t slot)
{
    return stableHash(host.value(), slot);
}

/** Returns the hosts in the order of their preference for a slot, which they are assigned by
    rendezvous hashing. */
std::vector<const gatherer *> rankedFor(std::uint64_t slot, const std::vector<gatherer> &hosts)
{
    std::vector<std::pair<std::uint64_t, const gatherer *>> ranks;
    for (const gatherer &host : hosts)
        ranks.emplace_back(rankOf(host.host, slot), &host);
    std::sort(ranks.begin(), ranks.end(), std::greater<>());
    std::vector<const gatherer *> ranked;
    for (const auto &[rank, host] : ranks)
        ranked.push_back(host);
    return ranked;
}

double coresOf(const std::vector<gatherer> &hosts)
{
    return std::accumulate(hosts.begin(), hosts.end(), 0.0, [](double sum, const gatherer &host) {
        return sum + host.cores.value();
    });
}

std::size_t dividedUp(std::size_t dividend, std::size_t divisor)
{
    return (dividend + divisor - 1) / divisor;
}

} // namespace

gathering_plan::gathering_plan(gatherer ownHost, const gathering_parameters &parameters)
    : m_ownHost(std::move(ownHost))
    , m_parameters(parameters)
{ }

void gathering_plan::setMembers(std::vector<gatherer> members)
{
    std::map<data_centre_id, std::vector<gatherer>> membersByDataCentre;
    for (gatherer &member : members) {
        const data_centre_id dataCentre = member.dataCentre;
        membersByDataCentre[dataCentre].push_back(std::move(member));
    }
    if (membersByDataCentre == m_membersByDataCentre)
        return;
    m_membersByDataCentre = std::move(membersByDataCentre);
    m_layouts.clear();
}

const std::vector<lookup_part> &gathering_plan::partsFor(std::size_t shardCount)
{
    return layoutFor(shardCount).parts;
}

std::size_t gathering_plan::gatherersPerShard(std::size_t shardCount)
{
    return layoutFor(shardCount).gatherersPerShard;
}

bool gathering_plan::isGatherer(std::size_t shardCount)
{
    return layoutFor(shardCount).isGatherer;
}

template <typename Condition>
bool gathering_plan::anyMember(Condition condition) const
{
    return std::any_of(m_membersByDataCentre.begin(), m_membersByDataCentre.end(),
                       [&](const auto &entry) {
                           return std::any_of(entry.second.begin(), entry.second.end(), condition);
                       });
}

bool gathering_plan::isMember(const host_id &host) const
{
    return anyMember([&](const gatherer &member) { return member.host == host; });
}

bool gathering_plan::isMemberAddress(const endpoint &address) const
{
    return anyMember([&](const gatherer &member) { return member.address == address; });
}

const gathering_plan::layout &gathering_plan::layoutFor(std::size_t shardCount)
{
    const auto found = m_layouts.find(shardCount);
    if (found != m_layouts.end())
        return found->second;
    if (m_layouts.size() >= maximumLayouts)
        m_layouts.clear();
    return m_layouts.emplace(shardCount, makeLayout(shardCount)).first->second;
}

gathering_plan::layout gathering_plan::makeLayout(std::size_t shardCount) const
{
    layout result;
    for (const auto &[dataCentre, hosts] : m_membersByDataCentre) {
        const gatherer_sets sets = setsOf(hosts, shardCount);
        if (sets.partsPerLookup == 0)
            continue;
        const std::size_t setCount = sets.hostsOfParts.size() / sets.partsPerLookup;
        result.gatherersPerShard += setCount;
        if (dataCentre != m_ownHost.dataCentre)
            continue;
        for (const std::vector<gatherer> &partHosts : sets.hostsOfParts) {
            for (const gatherer &host : partHosts)
                result.isGatherer = result.isGatherer || host.host == m_ownHost.host;
        }
        if (shardCount <= shardsPerPart(m_ownHost.cores))
            continue;
        const std::size_t first = ownSet(setCount) * sets.partsPerLookup;
        for (std::size_t part = 0; part < sets.partsPerLookup; ++part)
            result.parts.push_back({{}, sets.hostsOfParts[first + part]});
        for (std::size_t shard = 0; shard < shardCount; ++shard)
            result.parts[shard % sets.partsPerLookup].shards.push_back(shard);
    }
    return result;
}

std::size_t gathering_plan::shardsPerPart(core_share cores) const
{
    const std::chrono::duration<double> processorTime = m_parameters.partTime * cores.value();
    const double calls = processorTime / std::chrono::duration<double>(m_parameters.callTime);
    return std::max<std::size_t>(static_cast<std::size_t>(calls), 1);
}

std::vector<gatherer> gathering_plan::candidatesOf(std::vector<gatherer> hosts) const
{
    std::sort(hosts.begin(), hosts.end(), [](const gatherer &left, const gatherer &right) {
        return std::tie(right.cores, left.host) < std::tie(left.cores, right.host);
    });
    const double minimumCores = m_parameters.minimumRelativeCores * hosts.front().cores.value();
    std::vector<gatherer> strongHosts;
    std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(strongHosts),
                 [&](const gatherer &host) { return host.cores.value() >= minimumCores; });
    const bool areEnough =
        coresOf(strongHosts) >= m_parameters.minimumGathererShare * coresOf(hosts);
    return areEnough ? strongHosts : hosts;
}

gathering_plan::gatherer_sets gathering_plan::setsOf(const std::vector<gatherer> &hosts,
                                                     std::size_t shardCount) const
{
    const bool needsGatherers = std::any_of(hosts.begin(), hosts.end(), [&](const gatherer &host) {
        return shardCount > shardsPerPart(host.cores);
    });
    if (!needsGatherers || hosts.size() < 2)
        return {};
    const std::vector<gatherer> candidates = candidatesOf(hosts);
    gatherer_sets sets;
    sets.partsPerLookup =
        std::min(dividedUp(shardCount, shardsPerPart(candidates.back().cores)), candidates.size());
    // Half of the candidates stay free, so that one that leaves is replaced by one of them.
    const std::size_t wantedSets = dividedUp(hosts.size(), m_parameters.hostsPerSet);
    const std::size_t maximumSets =
        std::max<std::size_t>(candidates.size() / (2 * sets.partsPerLookup), 1);
    const std::size_t setCount = std::min(wantedSets, maximumSets);
    const std::size_t slotCount = setCount * sets.partsPerLookup;
    const std::size_t maximumSlots = dividedUp(slotCount, candidates.size());
    std::map<host_id, std::size_t> slotsOfHosts;
    for (std::uint64_t slot = 0; slot < slotCount; ++slot) {
        std::vector<const gatherer *> ranked = rankedFor(slot, candidates);
        const auto first =
            std::find_if(ranked.begin(), ranked.end(), [&](const gatherer *candidate) {
                return slotsOfHosts[candidate->host] < maximumSlots;
            });
        ++slotsOfHosts[(*first)->host];
        std::rotate(ranked.begin(), first, first + 1);
        ranked.resize(std::min(ranked.size(), m_parameters.hostsPerPart));
        std::vector<gatherer> &partHosts = sets.hostsOfParts.emplace_back();
        for (const gatherer *host : ranked)
            partHosts.push_back(*host);
    }
    return sets;
}

std::size_t gathering_plan::ownSet(std::size_t setCount) const
{
    std::size_t best = 0;
    for (std::size_t set = 1; set < setCount; ++set) {
        if (rankOf(m_ownHost.host, set) > rankOf(m_ownHost.host, best))
            best = set;
    }
    return best;
}

} // namespace mustardcourse::serving
