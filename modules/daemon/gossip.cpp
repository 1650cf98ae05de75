#include "gossip.h"

#include <algorithm>

namespace mustardcourse::daemon {

namespace {

/** Maximum number of members in one digest, so that its size does not grow with the fleet. */
constexpr std::size_t maximumRecords = 16;

/** Peers contacted per round, and at once after a change. */
constexpr std::size_t peersPerRound = 1;

/** Mean number of rounds between exchanges with a listed host that is not a member. */
constexpr std::size_t roundsPerNonMember = 4;

} // namespace

gossip::gossip(wire::event_loop &loop, const clock &clock, const logger &log, metrics &metrics,
               membership::member_table &members, settings_view &settings,
               settings_service &service, peers &peers, platform::host_list_client &hostList,
               gossip_intervals intervals)
    : m_loop(loop)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_members(members)
    , m_settings(settings)
    , m_service(service)
    , m_peers(peers)
    , m_hostList(hostList)
    , m_intervals(intervals)
    , m_random(std::random_device{}())
    , m_tasks(*this)
{ }

void gossip::taskFailed(kj::Exception &&exception)
{
    m_log.warning("gossip-failed", {{"reason", exception.getDescription().cStr()}});
}

kj::Promise<void> gossip::run()
{
    return exchangeLoop().exclusiveJoin(hostListLoop());
}

kj::Promise<void> gossip::exchangeLoop()
{
    m_members.tick(m_clock.now());
    m_metrics.membersServing.Set(static_cast<double>(m_members.serving().size()));
    exchangeWithPeers();
    return m_loop.sleep(m_intervals.exchange).then([this] { return exchangeLoop(); });
}

kj::Promise<void> gossip::hostListLoop()
{
    return m_hostList.fetch()
        .then([this](std::optional<std::vector<platform::listed_host>> &&hosts) {
            if (!hosts)
                return;
            m_listedAddresses.clear();
            for (const platform::listed_host &host : *hosts) {
                if (host.host != m_members.self().host && !host.isLeaving)
                    m_listedAddresses.insert(host.peerAddress);
            }
        })
        .then([this] { return m_loop.sleep(m_intervals.hostList); })
        .then([this] { return hostListLoop(); });
}

std::vector<endpoint> gossip::listedNonMembers() const
{
    const std::vector<endpoint> members = m_members.peers();
    std::vector<endpoint> nonMembers;
    for (const endpoint &listed : m_listedAddresses) {
        if (std::find(members.begin(), members.end(), listed) == members.end())
            nonMembers.push_back(listed);
    }
    return nonMembers;
}

std::vector<endpoint> gossip::pickPeers(std::size_t maximumCount)
{
    std::vector<endpoint> candidates = m_members.peers();
    const std::vector<endpoint> nonMembers = listedNonMembers();
    // Occasional exchanges with listed hosts that are not members let partitioned groups merge
    // again. They replace an exchange with a member, so that the traffic does not grow.
    const bool shouldPickNonMember = candidates.empty() || m_random() % roundsPerNonMember == 0;
    if (shouldPickNonMember && !nonMembers.empty())
        candidates = nonMembers;
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    candidates.resize(std::min(candidates.size(), maximumCount));
    return candidates;
}

void gossip::exchangeWithPeers()
{
    for (const endpoint &peer : pickPeers(peersPerRound))
        m_tasks.add(exchangeWith(peer));
}

member_digest gossip::digest()
{
    member_digest ownDigest;
    ownDigest.members = m_members.records(maximumRecords, m_random);
    for (const auto &[team, inForce] : m_settings.teams())
        ownDigest.settings.emplace(team, inForce.record.settingsRevision);
    ownDigest.settingsAge = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_clock.now() - m_service.lastCurrentAt());
    return ownDigest;
}

void gossip::merge(const member_digest &peerDigest)
{
    m_members.merge(peerDigest.members, m_clock.now());
}

member_digest gossip::handleDigest(const member_digest &peerDigest)
{
    merge(peerDigest);
    // The first record of a digest is that of its sender. @see membership::member_table::records
    if (!peerDigest.members.empty())
        m_tasks.add(fetchNewerSettings(peerDigest.members.front().peerAddress, peerDigest));
    return digest();
}

kj::Promise<void> gossip::exchangeWith(const endpoint &peer)
{
    const member_digest ownDigest = digest();
    return m_peers.exchange(peer, ownDigest)
        .then([this, peer](std::optional<member_digest> &&reply) -> kj::Promise<void> {
            if (!reply)
                return kj::READY_NOW;
            merge(*reply);
            return fetchNewerSettings(peer, *reply);
        });
}

kj::Promise<void> gossip::fetchNewerSettings(const endpoint &peer, const member_digest &peerDigest)
{
    const time_point peerCurrentAt = m_clock.now() - peerDigest.settingsAge;
    std::vector<team_id> outdatedTeams;
    for (const auto &[team, peerRevision] : peerDigest.settings) {
        if (peerRevision > m_settings.revisionOf(team))
            outdatedTeams.push_back(team);
    }
    if (outdatedTeams.empty()) {
        m_service.recordCurrentAt(peerCurrentAt);
        return kj::READY_NOW;
    }
    return m_peers.fetchSettings(peer, outdatedTeams)
        .then([this, peerCurrentAt](std::vector<settings::team_record> &&records) {
            bool isChanged = false;
            for (const settings::team_record &record : records)
                isChanged = m_settings.applyIfNewer(record) || isChanged;
            if (!isChanged)
                return;
            m_service.recordCurrentAt(peerCurrentAt);
            exchangeWithPeers();
        });
}

kj::Promise<void> gossip::announceLeaving()
{
    constexpr std::size_t announcedPeers = 4;

    m_members.leave();
    m_members.tick(m_clock.now());
    const std::vector<endpoint> selectedPeers = pickPeers(announcedPeers);
    auto exchanges = kj::heapArrayBuilder<kj::Promise<void>>(selectedPeers.size());
    for (const endpoint &peer : selectedPeers)
        exchanges.add(exchangeWith(peer));
    return kj::joinPromises(exchanges.finish());
}

} // namespace mustardcourse::daemon
