#include <mustardcourse/limits/wait_queue.h>

namespace mustardcourse::limits {

push_result wait_queue::push(wait_ticket ticket, customer_class importance, time_point deadline)
{
    assert(!m_places.contains(ticket));

    push_result result{push_outcome::Queued, 0};
    if (m_places.size() >= m_capacity) {
        const place last = m_order.rbegin()->first;
        if (last.importance >= importance)
            return {push_outcome::Refused, 0};
        remove(last.ticket);
        result = {push_outcome::QueuedAfterEviction, last.ticket};
    }
    const place added{importance, deadline, ticket};
    m_order.emplace(added, ticket);
    m_places.emplace(ticket, added);
    return result;
}

std::optional<wait_ticket> wait_queue::pop(time_point now)
{
    for (const auto &[position, ticket] : m_order) {
        if (position.deadline <= now)
            continue;
        const wait_ticket taken = ticket;
        remove(taken);
        return taken;
    }
    return std::nullopt;
}

std::vector<wait_ticket> wait_queue::takeExpired(time_point now)
{
    std::vector<wait_ticket> expired;
    for (const auto &[ticket, position] : m_places) {
        if (position.deadline <= now)
            expired.push_back(ticket);
    }
    for (const wait_ticket ticket : expired)
        remove(ticket);
    return expired;
}

void wait_queue::remove(wait_ticket ticket)
{
    const auto found = m_places.find(ticket);
    if (found == m_places.end())
        return;
    m_order.erase(found->second);
    m_places.erase(found);
}

} // namespace mustardcourse::limits
