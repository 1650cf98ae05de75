#pragma once

#include "peers.h"
#include "settings_service.h"
#include "settings_view.h"

#include <mustardcourse/membership/member_table.h>
#include <mustardcourse/platform/host_list_client.h>

#include <random>
#include <set>

namespace mustardcourse::daemon {

/** Intervals of a host's gossip. */
struct gossip_intervals
{
    duration exchange;
    duration hostList;
};

/**
    Exchanges digests of members and settings revisions with peers.

    A host that receives a newer revision in a digest fetches the settings from that peer.
*/
class gossip final : private kj::TaskSet::ErrorHandler
{
public:
    gossip(wire::event_loop &loop, const clock &clock, const logger &log, metrics &metrics,
           membership::member_table &members, settings_view &settings, settings_service &service,
           peers &peers, platform::host_list_client &hostList, gossip_intervals intervals);

    /** Exchanges digests periodically until the promise is dropped. */
    kj::Promise<void> run();

    /** Starts exchanges with some peers at once, for example after a change. */
    void exchangeWithPeers();

    /** Merges a peer's digest and returns the digest of this host. */
    member_digest handleDigest(const member_digest &peerDigest);

    /** Notifies several peers that this host is leaving. */
    kj::Promise<void> announceLeaving();

private:
    void taskFailed(kj::Exception &&exception) override;
    kj::Promise<void> exchangeLoop();
    kj::Promise<void> hostListLoop();
    kj::Promise<void> exchangeWith(const endpoint &peer);
    std::vector<endpoint> listedNonMembers() const;
    std::vector<endpoint> pickPeers(std::size_t maximumCount);
    member_digest digest();
    void merge(const member_digest &peerDigest);
    kj::Promise<void> fetchNewerSettings(const endpoint &peer, const member_digest &peerDigest);

    wire::event_loop &m_loop;
    const clock &m_clock;
    const logger &m_log;
    metrics &m_metrics;
    membership::member_table &m_members;
    settings_view &m_settings;
    settings_service &m_service;
    peers &m_peers;
    platform::host_list_client &m_hostList;
    gossip_intervals m_intervals;
    std::set<endpoint> m_listedAddresses;
    std::mt19937_64 m_random;
    kj::TaskSet m_tasks;
};

} // namespace mustardcourse::daemon
