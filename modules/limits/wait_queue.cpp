#include <mustardcourse/limits/wait_queue.h>

namespace mustardcourse::limits {

push_result wait_queue::push(wait_ticket ticket, customer_class importance, time_point deadline)
{
    assert(!m_positions.contains(ticket));

    push_result result{push_outcome::Queued, 0};
    if (m_positions.size() >= m_capacity) {
        const queue_position last = m_tickets.rbegin()->first;
        if (last.importance >= importance)
            return {push_outcome::Refused, 0};
        remove(last.ticket);
        result = {push_outcome::QueuedAfterEviction, last.ticket};
    }
    const queue_position position{importance, deadline, ticket};
    m_tickets.emplace(position, ticket);
    m_positions.emplace(ticket, position);
    return result;
}

std::optional<wait_ticket> wait_queue::pop(time_point now)
{
    for (const auto &[position, ticket] : m_tickets) {
        if (position.deadline <= now)
            continue;
        const wait_ticket first = ticket;
        remove(first);
        return first;
    }
    return std::nullopt;
}

std::vector<wait_ticket> wait_queue::takeExpired(time_point now)
{
    std::vector<wait_ticket> expired;
    for (const auto &[ticket, position] : m_positions) {
        if (position.deadline <= now)
            expired.push_back(ticket);
    }
    for (const wait_ticket ticket : expired)
        remove(ticket);
    return expired;
}

void wait_queue::remove(wait_ticket ticket)
{
    const auto found = m_positions.find(ticket);
    if (found == m_positions.end())
        return;
    m_tickets.erase(found->second);
    m_positions.erase(found);
}

} // namespace mustardcourse::limits
