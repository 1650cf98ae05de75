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
    for (auto &[host, known] : m_others) {
        if (now - known.lastHeard >= m_timeouts.failAfter)
            known.record.state = member_state::Failed;
    }
    std::erase_if(m_others, [&](const auto &entry) {
        return now - entry.second.lastHeard >= m_timeouts.failAfter + m_timeouts.forgetAfter;
    });
}

void member_table::merge(const std::vector<member_record> &records, time_point now)
{
    for (const member_record &record : records)
        mergeOne(record, now);
}

void member_table::mergeOne(const member_record &record, time_point now)
{
    if (record.host == m_self.host) {
        // Someone holds a record of an earlier life of this host, or believes that it failed.
        if (record.incarnationNumber > m_self.incarnationNumber)
            m_self.incarnationNumber = incarnation(record.incarnationNumber.value() + 1);
        return;
    }
    // A failure is judged by each host alone, so a rumour of one is not taken over.
    if (record.state == member_state::Failed)
        return;

    const auto found = m_others.find(record.host);
    if (found == m_others.end()) {
        dropReplaced(record);
        m_others.emplace(record.host, known_member{record, now});
        return;
    }
    known_member &known = found->second;
    if (record.incarnationNumber < known.record.incarnationNumber)
        return;
    const bool isNewLife = record.incarnationNumber > known.record.incarnationNumber;
    if (!isNewLife && record.heartbeat <= known.record.heartbeat)
        return;
    const bool wasLeaving = known.record.state == member_state::Leaving;
    known.record = record;
    known.lastHeard = now;
    if (!isNewLife && wasLeaving)
        known.record.state = member_state::Leaving;
}

void member_table::dropReplaced(const member_record &successor)
{
    std::erase_if(m_others, [&](const auto &entry) {
        const member_record &known = entry.second.record;
        return known.peerAddress == successor.peerAddress
            && known.incarnationNumber < successor.incarnationNumber;
    });
}

void member_table::leave()
{
    m_self.state = member_state::Leaving;
}

std::vector<member_record> member_table::records(std::size_t most, std::mt19937_64 &random) const
{
    std::vector<member_record> others;
    for (const auto &[host, known] : m_others) {
        if (known.record.state != member_state::Failed)
            others.push_back(known.record);
    }
    std::shuffle(others.begin(), others.end(), random);
    if (others.size() + 1 > most)
        others.resize(most - 1);
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
    for (const auto &[host, known] : m_others)
        members.push_back(known.record);
    return members;
}

std::vector<endpoint> member_table::peers() const
{
    std::vector<endpoint> addresses;
    for (const auto &[host, known] : m_others) {
        if (known.record.state != member_state::Failed)
            addresses.push_back(known.record.peerAddress);
    }
    return addresses;
}

} // namespace mustardcourse::membership
