#include "target_client.h"

namespace mustardcourse::daemon {

using nlohmann::json;

/** A queued wait for a permit; it resolves to whether a permit was granted. */
class target_client::permit_wait
{
public:
    permit_wait(kj::PromiseFulfiller<bool> &fulfiller, target_client &owner,
                limits::customer_class importance, time_point deadline)
        : m_fulfiller(fulfiller)
        , m_owner(owner)
        , m_ticket(++owner.m_nextTicket)
    {
        owner.m_waiters.emplace(m_ticket, this);
        const limits::push_result pushResult = owner.m_queue.push(m_ticket, importance, deadline);
        if (pushResult.outcome == limits::push_outcome::QueuedAfterEviction)
            owner.refuse(pushResult.evictedTicket);
        if (pushResult.outcome == limits::push_outcome::Refused)
            owner.refuse(m_ticket);
    }

    ~permit_wait()
    {
        if (m_isSettled)
            return;
        m_owner.m_queue.remove(m_ticket);
        m_owner.m_waiters.erase(m_ticket);
    }

    KJ_DISALLOW_COPY(permit_wait);

    void settle(bool isGranted)
    {
        m_isSettled = true;
        m_owner.m_waiters.erase(m_ticket);
        m_fulfiller.fulfill(kj::cp(isGranted));
    }

private:
    kj::PromiseFulfiller<bool> &m_fulfiller;
    target_client &m_owner;
    limits::wait_ticket m_ticket;
    bool m_isSettled = false;
};

/** Releases a permit, at the latest on destruction. */
class target_client::held_permit
{
public:
    explicit held_permit(target_client &owner)
        : m_owner(owner)
    { }

    ~held_permit()
    {
        if (!m_isReleased)
            m_owner.m_gate.release();
        m_owner.grantPermits();
    }

    KJ_DISALLOW_COPY(held_permit);

    void releaseAfterSuccess()
    {
        m_isReleased = true;
        m_owner.m_gate.releaseAfterSuccess();
    }

    void releaseAfterFailure()
    {
        m_isReleased = true;
        m_owner.m_gate.releaseAfterFailure();
    }

private:
    target_client &m_owner;
    bool m_isReleased = false;
};

target_client::target_client(wire::event_loop &loop, const clock &clock, metrics &metrics,
                             registers::target_id target, registers::target_capacity capacity,
                             std::size_t queueCapacity)
    : m_loop(loop)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_target(std::move(target))
    , m_gate({.slots = std::min(capacity.slots, capacity.connections)})
    , m_queue(queueCapacity)
    , m_statusConnection(loop, m_target)
    , m_lastUsed(clock.now())
{ }

target_client::~target_client() = default;

kj::Promise<bool> target_client::waitForPermit(limits::customer_class importance,
                                               time_point deadline)
{
    if (m_queue.size() == 0 && m_gate.tryAcquire())
        return true;
    return kj::newAdaptedPromise<bool, permit_wait>(*this, importance, deadline);
}

void target_client::grantPermits()
{
    while (m_queue.size() > 0 && m_gate.tryAcquire()) {
        const auto ticket = m_queue.pop(m_clock.now());
        if (!ticket) {
            m_gate.release();
            break;
        }
        m_waiters.at(*ticket)->settle(true);
    }
    for (const limits::wait_ticket ticket : m_queue.takeExpired(m_clock.now()))
        refuse(ticket);
}

void target_client::refuse(limits::wait_ticket ticket)
{
    m_waiters.at(ticket)->settle(false);
}

kj::Promise<target_response> target_client::send(target_request request)
{
    auto permitPromise = waitForPermit(request.importance, request.deadline);
    return permitPromise.then([this, request = std::move(request)](
                                  bool isGranted) mutable -> kj::Promise<target_response> {
        if (!isGranted) {
            const bool isExpired = request.deadline <= m_clock.now();
            return target_response{
                isExpired ? target_outcome::Expired : target_outcome::QueueFull, 0, {}};
        }
        return exchange(std::make_unique<held_permit>(*this), std::move(request));
    });
}

wire::http_connection &target_client::idleConnection()
{
    wire::http_connection *closedConnection = nullptr;
    for (const auto &connection : m_connections) {
        if (connection->isBusy())
            continue;
        if (connection->isOpen())
            return *connection;
        closedConnection = connection.get();
    }
    if (closedConnection != nullptr)
        return *closedConnection;
    m_connections.push_back(std::make_unique<wire::http_connection>(m_loop, m_target));
    return *m_connections.back();
}

kj::Promise<target_response> target_client::exchange(std::unique_ptr<held_permit> permit,
                                                     target_request request)
{
    const duration remaining = request.deadline - m_clock.now();
    if (remaining <= duration::zero())
        return target_response{target_outcome::Expired, 0, {}};
    request.http.timeout = remaining;

    wire::http_connection &connection = idleConnection();
    const std::uint64_t dialsBefore = connection.dialCount();
    auto resultPromise = connection.exchange(std::move(request.http));
    m_metrics.targetCalls.Increment();
    m_metrics.targetConnectionsOpened.Increment(
        static_cast<double>(connection.dialCount() - dialsBefore));
    // KJ runs a continuation only when its result is consumed, and a join consumes the results only
    // when all are available. The permit must be released without waiting for the lookup's other
    // calls.
    return resultPromise
        .then([this, permit = std::move(permit)](wire::exchange_result &&result) mutable {
            const std::unique_ptr<held_permit> ownedPermit = std::move(permit);
            return interpret(*ownedPermit, result);
        })
        .eagerlyEvaluate(nullptr);
}

target_response target_client::interpret(held_permit &permit, const wire::exchange_result &result)
{
    if (result.outcome == wire::exchange_outcome::NotSent) {
        permit.releaseAfterFailure();
        return {target_outcome::Unreachable, 0, {}};
    }
    // A timeout closes that connection only and does not count against the target yet.
    if (result.outcome == wire::exchange_outcome::Lost)
        return {target_outcome::Lost, 0, {}};

    json body = json::parse(result.response.body, nullptr, false);
    if (!body.is_object()) {
        permit.releaseAfterFailure();
        return {target_outcome::Malformed, result.response.status, {}};
    }
    updateStatus(body);
    if (result.response.status == target_status::shed)
        permit.releaseAfterFailure();
    else
        permit.releaseAfterSuccess();
    return {target_outcome::Answered, result.response.status, std::move(body)};
}

void target_client::updateStatus(const json &body)
{
    const auto incarnationField = body.find("incarnation");
    if (incarnationField != body.end() && incarnationField->is_number_unsigned())
        m_gate.observeIncarnation(incarnation(incarnationField->get<std::uint64_t>()));
    const auto leavingField = body.find("leaving");
    if (leavingField != body.end() && leavingField->is_boolean())
        m_isLeaving = leavingField->get<bool>();
    const auto heldField = body.find("held");
    if (heldField == body.end() || !heldField->is_array())
        return;
    m_heldVersions.clear();
    for (const json &version : *heldField) {
        if (version.is_number_unsigned())
            m_heldVersions.emplace_back(version.get<std::uint64_t>());
    }
    m_hasVersionReport = true;
}

kj::Promise<void> target_client::refreshStatus(duration timeout)
{
    if (m_statusConnection.isBusy())
        return kj::READY_NOW;
    wire::outgoing_request request;
    request.path = "/v1/status";
    request.timeout = timeout;
    return m_statusConnection.exchange(std::move(request))
        .then([this](wire::exchange_result &&result) {
            if (result.outcome != wire::exchange_outcome::Answered)
                return;
            const json body = json::parse(result.response.body, nullptr, false);
            if (body.is_object())
                updateStatus(body);
        });
}

std::size_t target_client::openConnectionCount() const
{
    std::size_t openCount = 0;
    for (const auto &connection : m_connections)
        openCount += connection->isBusy() || connection->isOpen() ? 1 : 0;
    return openCount;
}

} // namespace mustardcourse::daemon
