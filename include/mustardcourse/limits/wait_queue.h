#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/limits/customer_class.h>

#include <cassert>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mustardcourse::limits {

/** Names one waiter of a queue. */
using wait_ticket = std::uint64_t;

/** What push() did. */
enum class push_outcome {
    Queued,
    /** The queue is full and holds nothing less important. */
    Refused,
    /** The waiter was queued and a less important one was put out; see push_result::displaced. */
    QueuedAfterEviction,
};

/** The result of push(). */
struct push_result
{
    push_outcome outcome = push_outcome::Refused;
    wait_ticket evictedTicket = 0;
};

/**
    A bounded queue of requests that wait for a permit.

    The highest class goes first, within a class the earliest deadline. When the queue is full, a
    waiter of a lower class gives way to one of a higher class.
*/
class wait_queue
{
public:
    explicit wait_queue(std::size_t capacity)
        : m_capacity(capacity)
    {
        assert(capacity > 0);
    }

    /** Adds a waiter. The ticket must be new. */
    push_result push(wait_ticket ticket, customer_class importance, time_point deadline);

    /** Takes the first waiter whose deadline has not passed. */
    std::optional<wait_ticket> pop(time_point now);

    /** Takes out every waiter whose deadline has passed. */
    std::vector<wait_ticket> takeExpired(time_point now);

    /** Takes out one waiter, for example as its caller has gone. */
    void remove(wait_ticket ticket);

    [[nodiscard]] std::size_t size() const noexcept { return m_places.size(); }

private:
    struct place
    {
        customer_class importance;
        time_point deadline;
        wait_ticket ticket;

        friend bool operator<(const place &left, const place &right)
        {
            if (left.importance != right.importance)
                return left.importance > right.importance;
            if (left.deadline != right.deadline)
                return left.deadline < right.deadline;
            return left.ticket < right.ticket;
        }
    };

    std::size_t m_capacity;
    std::map<place, wait_ticket> m_order;
    std::map<wait_ticket, place> m_places;
};

} // namespace mustardcourse::limits
