#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/core_share.h>
#include <mustardcourse/core/endpoint.h>
#include <mustardcourse/core/ids.h>

#include <map>
#include <set>
#include <vector>

namespace mustardcourse::serving {

/** A host that can gather the answers of shards for lookups that other hosts have received. */
struct gatherer
{
    host_id host;
    data_centre_id dataCentre;
    /** Address at which it accepts parts of lookups. */
    endpoint address;
    core_share cores;

    friend bool operator==(const gatherer &, const gatherer &) = default;
};

/** A part of the shards of a lookup. */
struct lookup_part
{
    /** Positions of its shards in the lookup. */
    std::vector<std::size_t> shards;
    /** Hosts that gather it, the preferred one first. */
    std::vector<gatherer> hosts;
};

struct gathering_parameters
{
    /** Processor time on a whole core that one call of a target takes, an upper estimate. */
    std::chrono::microseconds callTime{60};
    /** Time for which the calls of one part may occupy the processor of its gatherer. */
    std::chrono::milliseconds partTime{8};
    /** Minimum processor share of a gatherer, relative to the strongest host of its data centre. */
    double minimumRelativeCores = 0.5;
    /** Weaker hosts gather as well if the stronger ones have less than this share of the cores. */
    double minimumGathererShare = 0.1;
    /** Number of hosts whose lookups one set of gatherers serves. */
    std::size_t hostsPerSet = 16;
    /** Number of hosts that are named for each part. */
    std::size_t hostsPerPart = 2;
};

/**
    Decides which hosts gather the shards of a lookup.

    The processor time of a lookup grows with its shards, and on a small host it can exceed the
    latency objective. A lookup over more shards than its host can call in time is therefore divided
    into parts, each of which is gathered by one of the strongest hosts of the same data centre.
    Those keep their connections to the same targets and learn how fast they are from the lookups of
    many hosts. Hosts of a data centre that has almost no targets use gatherers of another one, so
    that only the greatest records travel between data centres.

    Hosts with the same view of the members assign the parts in the same way (rendezvous hashing
   with bounded load). The class does no I/O.
*/
class gathering_plan
{
public:
    /** @param ownHost  its address is not used */
    explicit gathering_plan(gatherer ownHost, const gathering_parameters &parameters = {});

    /** Sets the hosts of all data centres that accept parts. */
    void setMembers(std::vector<gatherer> members);

    /** Sets the data centres that hold the targets. Without any, each one gathers for itself. */
    void setTargetDataCentres(std::set<data_centre_id> dataCentres);

    /** Returns the parts of a lookup over this many shards; empty if its host gathers all of them.
        The reference is valid until setMembers() is called. */
    [[nodiscard]] const std::vector<lookup_part> &partsFor(std::size_t shardCount);

    /** Returns how many hosts of all data centres together gather each shard of such a lookup; zero
        if no host receives parts of it. */
    [[nodiscard]] std::size_t gatherersPerShard(std::size_t shardCount);

    /** Returns whether this host gathers such lookups, as the first host or in place of it. */
    [[nodiscard]] bool isGatherer(std::size_t shardCount);

    [[nodiscard]] bool isMember(const host_id &host) const;
    [[nodiscard]] bool isMemberAddress(const endpoint &address) const;
    [[nodiscard]] const gatherer &ownHost() const noexcept { return m_ownHost; }

private:
    template <typename Condition>
    [[nodiscard]] bool anyMember(Condition condition) const;
    /** Hosts of a data centre that gather lookups over some number of shards. */
    struct gatherer_sets
    {
        std::size_t partsPerLookup = 0;
        /** Hosts of each part, for one set of gatherers after the other. */
        std::vector<std::vector<gatherer>> hostsOfParts;

        [[nodiscard]] std::size_t setCount() const { return hostsOfParts.size() / partsPerLookup; }
    };
    struct layout
    {
        std::vector<lookup_part> parts;
        std::size_t gatherersPerShard = 0;
        bool isGatherer = false;
    };

    const layout &layoutFor(std::size_t shardCount);
    [[nodiscard]] layout makeLayout(std::size_t shardCount) const;
    /** Returns the parts of a lookup of this host.
        @param setsByDataCentre  only of data centres that have gatherers */
    [[nodiscard]] std::vector<lookup_part>
    makeParts(const std::map<data_centre_id, gatherer_sets> &setsByDataCentre,
              std::size_t shardCount) const;
    /** Returns the data centres whose hosts gather for this one, the preferred first. */
    [[nodiscard]] std::vector<data_centre_id> rankedDataCentres() const;
    /** Returns how many shards a host can call within the time of a part. */
    [[nodiscard]] std::size_t shardsPerPart(core_share cores) const;
    /** Returns the hosts of a data centre that are strong enough, the strongest first. */
    [[nodiscard]] std::vector<gatherer> candidatesOf(std::vector<gatherer> hosts) const;
    [[nodiscard]] gatherer_sets setsOf(const std::vector<gatherer> &hosts,
                                       std::size_t shardCount) const;
    /** Returns the set of gatherers that this host uses. */
    [[nodiscard]] std::size_t ownSet(std::size_t setCount) const;

    gatherer m_ownHost;
    gathering_parameters m_parameters;
    std::map<data_centre_id, std::vector<gatherer>> m_membersByDataCentre;
    std::set<data_centre_id> m_targetDataCentres;
    std::map<std::size_t, layout> m_layouts;
};

} // namespace mustardcourse::serving
