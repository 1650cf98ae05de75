#pragma once

#include "metrics.h"

#include <mustardcourse/core/clock.h>
#include <mustardcourse/limits/permit_gate.h>
#include <mustardcourse/limits/wait_queue.h>
#include <mustardcourse/requests/messages.h>
#include <mustardcourse/wire/http_connection.h>

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <vector>

namespace mustardcourse::daemon {

/** A request to a target, and the deadline until which it may wait and run. */
struct target_request
{
    wire::outgoing_request http;
    limits::customer_class importance = limits::customer_class::Normal;
    time_point deadline;
};

/** How a request to a target ended. */
enum class target_outcome {
    /** A complete response arrived; its body is a JSON object. */
    Answered,
    /** Not sent, since the queue is full. */
    QueueFull,
    /** Not sent, since the deadline has passed. */
    Expired,
    /** Not sent, since no connection could be opened. */
    Unreachable,
    /** Sent, or possibly sent, without a complete response. */
    Lost,
    /** Sent; the body of the response is not a JSON object. */
    Malformed,
};

/** The result of a request to a target. */
struct target_response
{
    target_outcome outcome = target_outcome::Unreachable;
    int status = 0;
    nlohmann::json body;
};

/** HTTP status codes of the targets' protocol. */
namespace target_status {
constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int layoutChanged = 409;
constexpr int versionGone = 410;
constexpr int shed = 503;
constexpr int deadlinePassed = 504;
} // namespace target_status

/**
    Holds the connections, permits, queue and status of one target.

    Only the home of a target should send requests to it, so that the permits limit its load.
*/
class target_client
{
public:
    target_client(wire::event_loop &loop, const clock &clock, metrics &metrics,
                  registers::target_id target, registers::target_capacity capacity,
                  std::size_t queueCapacity);
    ~target_client();
    target_client(const target_client &) = delete;
    target_client &operator=(const target_client &) = delete;

    /** Waits for a permit, then sends the request. Dropping the promise cancels it. */
    kj::Promise<target_response> send(target_request request);

    /** Reads the target's status over a separate connection, without a permit. */
    kj::Promise<void> refreshStatus(duration timeout);

    [[nodiscard]] const registers::target_id &target() const noexcept { return m_target; }
    [[nodiscard]] const limits::permit_gate &gate() const noexcept { return m_gate; }
    [[nodiscard]] std::size_t queueLength() const noexcept { return m_queue.size(); }
    [[nodiscard]] std::size_t openConnectionCount() const;
    [[nodiscard]] bool isLeaving() const noexcept { return m_isLeaving; }
    [[nodiscard]] const std::vector<index_version> &heldVersions() const noexcept
    {
        return m_heldVersions;
    }
    [[nodiscard]] bool hasVersionReport() const noexcept { return m_hasVersionReport; }
    [[nodiscard]] time_point lastUsed() const noexcept { return m_lastUsed; }

    /** Records that the target is in use. */
    void markUsed() { m_lastUsed = m_clock.now(); }

private:
    class permit_wait;
    class held_permit;

    kj::Promise<bool> waitForPermit(limits::customer_class importance, time_point deadline);
    void grantPermits();
    void refuse(limits::wait_ticket ticket);
    kj::Promise<target_response> exchange(std::unique_ptr<held_permit> permit,
                                          target_request request);
    target_response interpret(held_permit &permit, const wire::exchange_result &result);
    void updateStatus(const nlohmann::json &body);
    wire::http_connection &idleConnection();

    wire::event_loop &m_loop;
    const clock &m_clock;
    metrics &m_metrics;
    registers::target_id m_target;
    limits::permit_gate m_gate;
    limits::wait_queue m_queue;
    std::map<limits::wait_ticket, permit_wait *> m_waiters;
    limits::wait_ticket m_nextTicket = 0;
    std::vector<std::unique_ptr<wire::http_connection>> m_connections;
    wire::http_connection m_statusConnection;
    std::vector<index_version> m_heldVersions;
    bool m_hasVersionReport = false;
    bool m_isLeaving = false;
    time_point m_lastUsed;
};

} // namespace mustardcourse::daemon
