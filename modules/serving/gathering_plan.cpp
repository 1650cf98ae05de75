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
    ranks.reserve(hosts.size());
    for (const gatherer &host : hosts)
        ranks.emplace_back(rankOf(host.host, slot), &host);
    std::sort(ranks.begin(), ranks.end(), std::greater<>());
    std::vector<const gatherer *> ranked;
    ranked.reserve(ranks.size());
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

void gathering_plan::setTargetDataCentres(std::set<data_centre_id> dataCentres)
{
    if (dataCentres == m_targetDataCentres)
        return;
    m_targetDataCentres = std::move(dataCentres);
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
    std::map<data_centre_id, gatherer_sets> setsByDataCentre;
    for (const auto &[dataCentre, hosts] : m_membersByDataCentre) {
        gatherer_sets sets = setsOf(hosts, shardCount);
        if (sets.partsPerLookup == 0)
            continue;
        result.gatherersPerShard += sets.setCount();
        for (const std::vector<gatherer> &partHosts : sets.hostsOfParts) {
            for (const gatherer &host : partHosts)
                result.isGatherer = result.isGatherer || host.host == m_ownHost.host;
        }
        setsByDataCentre.emplace(dataCentre, std::move(sets));
    }
    if (shardCount > shardsPerPart(m_ownHost.cores))
        result.parts = makeParts(setsByDataCentre, shardCount);
    return result;
}

std::vector<lookup_part>
gathering_plan::makeParts(const std::map<data_centre_id, gatherer_sets> &setsByDataCentre,
                          std::size_t shardCount) const
{
    std::vector<const gatherer_sets *> ranked;
    for (const data_centre_id &dataCentre : rankedDataCentres()) {
        const auto found = setsByDataCentre.find(dataCentre);
        if (found != setsByDataCentre.end())
            ranked.push_back(&found->second);
    }
    if (ranked.empty())
        return {};
    const gatherer_sets &sets = *ranked.front();
    const std::size_t first = ownSet(sets.setCount()) * sets.partsPerLookup;
    std::vector<lookup_part> parts(sets.partsPerLookup);
    for (std::size_t part = 0; part < parts.size(); ++part) {
        parts[part].hosts = sets.hostsOfParts[first + part];
        // Another data centre may be cut off as a whole, so the next host is of a third one.
        const bool isElsewhere = parts[part].hosts.front().dataCentre != m_ownHost.dataCentre;
        if (isElsewhere && ranked.size() > 1) {
            const auto &otherParts = ranked[1]->hostsOfParts;
            parts[part].hosts.resize(1);
            parts[part].hosts.push_back(otherParts[(first + part) % otherParts.size()].front());
        }
    }
    for (std::size_t shard = 0; shard < shardCount; ++shard)
        parts[shard % parts.size()].shards.push_back(shard);
    return parts;
}

std::vector<data_centre_id> gathering_plan::rankedDataCentres() const
{
    if (m_targetDataCentres.empty() || m_targetDataCentres.contains(m_ownHost.dataCentre))
        return {m_ownHost.dataCentre};
    std::vector<data_centre_id> ranked(m_targetDataCentres.begin(), m_targetDataCentres.end());
    const auto rank = [this](const data_centre_id &dataCentre) {
        return stableHash(m_ownHost.host.value(), stableHash(dataCentre.value()));
    };
    std::sort(ranked.begin(), ranked.end(),
              [&](const auto &left, const auto &right) { return rank(left) > rank(right); });
    ranked.push_back(m_ownHost.dataCentre);
    return ranked;
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
