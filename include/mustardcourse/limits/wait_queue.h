#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/limits/customer_class.h>

#include <cassert>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mustardcourse::limits {

/** Identifies one waiter in a queue. */
using wait_ticket = std::uint64_t;

/** Outcome of push(). */
enum class push_outcome {
    Queued,
    /** The queue is full and contains no waiter of a lower class. */
    Refused,
    /** The waiter was queued and one of a lower class evicted; see push_result::evictedTicket. */
    QueuedAfterEviction,
};

/** The result of push(). */
struct push_result
{
    push_outcome outcome = push_outcome::Refused;
    wait_ticket evictedTicket = 0;
};

/**
    A bounded priority queue of requests that wait for a permit.

    Waiters are ordered by class, the highest first, and within a class by deadline, the earliest
    first. When the queue is full, a new waiter evicts the last one if that has a lower class.
*/
class wait_queue
{
public:
    explicit wait_queue(std::size_t capacity)
        : m_capacity(capacity)
    {
        assert(capacity > 0);
    }

    /** Adds a waiter. The queue must not contain the ticket yet. */
    push_result push(wait_ticket ticket, customer_class importance, time_point deadline);

    /** Removes and returns the first waiter whose deadline has not passed. */
    std::optional<wait_ticket> pop(time_point now);

    /** Removes and returns all waiters whose deadlines have passed. */
    std::vector<wait_ticket> takeExpired(time_point now);

    /** Removes a waiter if it is in the queue, for example when its caller has disconnected. */
    void remove(wait_ticket ticket);

    [[nodiscard]] std::size_t size() const noexcept { return m_positions.size(); }

private:
    struct queue_position
    {
        customer_class importance;
        time_point deadline;
        wait_ticket ticket;

        friend bool operator<(const queue_position &left, const queue_position &right)
        {
            if (left.importance != right.importance)
                return left.importance > right.importance;
            if (left.deadline != right.deadline)
                return left.deadline < right.deadline;
            return left.ticket < right.ticket;
        }
    };

    std::size_t m_capacity;
    std::map<queue_position, wait_ticket> m_tickets;
    std::map<wait_ticket, queue_position> m_positions;
};

} // namespace mustardcourse::limits
