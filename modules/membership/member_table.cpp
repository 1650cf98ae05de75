#include <mustardcourse/membership/member_table.h>

#include <algorithm>

namespace mustardcourse::membership {

std::string_view nameOf(member_state state)
{
    switch (state) {
    case member_state::Alive:
        return "alive";
    case member_state::Leaving:
        return "leaving";
    case member_state::Failed:
        return "failed";
    }
    return "unknown";
}

member_table::member_table(member_record self, member_timeouts timeouts)
    : m_self(std::move(self))
    , m_timeouts(timeouts)
{ }

void member_table::tick(time_point now)
{
    ++m_self.heartbeat;
    for (auto &[host, member] : m_others) {
        if (now - member.lastHeartbeatTime >= m_timeouts.failAfter)
            member.record.state = member_state::Failed;
    }
    std::erase_if(m_others, [&](const auto &entry) {
        return now - entry.second.lastHeartbeatTime
            >= m_timeouts.failAfter + m_timeouts.forgetAfter;
    });
}

void member_table::merge(const std::vector<member_record> &records, time_point now)
{
    for (const member_record &record : records)
        mergeRecord(record, now);
}

void member_table::mergeRecord(const member_record &record, time_point now)
{
    if (record.host == m_self.host) {
        // A peer holds a record of an earlier incarnation of this host, or considers it failed. Its
        // incarnation number must be exceeded for peers to accept the records of this one.
        if (record.incarnationNumber > m_self.incarnationNumber)
            m_self.incarnationNumber = incarnation(record.incarnationNumber.value() + 1);
        return;
    }
    // Each host detects failures itself, so a failure reported by a peer is ignored.
    if (record.state == member_state::Failed)
        return;

    const auto existing = m_others.find(record.host);
    if (existing == m_others.end()) {
        removeReplaced(record);
        m_others.emplace(record.host, observed_member{record, now});
        return;
    }
    observed_member &member = existing->second;
    if (record.incarnationNumber < member.record.incarnationNumber)
        return;
    const bool isNewIncarnation = record.incarnationNumber > member.record.incarnationNumber;
    if (!isNewIncarnation && record.heartbeat <= member.record.heartbeat)
        return;
    const bool wasLeaving = member.record.state == member_state::Leaving;
    member.record = record;
    member.lastHeartbeatTime = now;
    if (!isNewIncarnation && wasLeaving)
        member.record.state = member_state::Leaving;
}

void member_table::removeReplaced(const member_record &successor)
{
    std::erase_if(m_others, [&](const auto &entry) {
        const member_record &member = entry.second.record;
        return member.peerAddress == successor.peerAddress
            && member.incarnationNumber < successor.incarnationNumber;
    });
}

void member_table::leave()
{
    m_self.state = member_state::Leaving;
}

std::vector<member_record> member_table::records(std::size_t maximumCount,
                                                 std::mt19937_64 &random) const
{
    std::vector<member_record> others;
    for (const auto &[host, member] : m_others) {
        if (member.record.state != member_state::Failed)
            others.push_back(member.record);
    }
    std::shuffle(others.begin(), others.end(), random);
    if (others.size() + 1 > maximumCount)
        others.resize(maximumCount - 1);
    others.insert(others.begin(), m_self);
    return others;
}

std::vector<member_record> member_table::serving() const
{
    std::vector<member_record> members;
    for (const member_record &record : all()) {
        if (record.state == member_state::Alive)
            members.push_back(record);
    }
    return members;
}

std::vector<member_record> member_table::all() const
{
    std::vector<member_record> members{m_self};
    for (const auto &[host, member] : m_others)
        members.push_back(member.record);
    return members;
}

std::vector<endpoint> member_table::peers() const
{
    std::vector<endpoint> addresses;
    for (const auto &[host, member] : m_others) {
        if (member.record.state != member_state::Failed)
            addresses.push_back(member.record.peerAddress);
    }
    return addresses;
}

} // namespace mustardcourse::membership
