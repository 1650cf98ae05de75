#include <mustardcourse/serving/part_dispatcher.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace mustardcourse::serving {

namespace {

using std::chrono::milliseconds;

/** Maximum number of connections to a gatherer; each carries one part at a time. */
constexpr std::size_t maximumConnections = 32;
/** Limits of an answer: a signature for each of some thousand shards, and the records. */
constexpr http::message_limits answerLimits{16 * 1024, 2 * 1024 * 1024};
/** Fraction of the latency objective, and bounds, within which a gatherer has to acknowledge a
    part. */
constexpr double acknowledgementFraction = 0.25;
constexpr milliseconds minimumAcknowledgementTime{10};
constexpr milliseconds maximumAcknowledgementTime{50};
/** Time from which a gatherer may send a shard to a second target, as a multiple of the time for
    its acknowledgement: until then it learns whether this host has given the part to another
    one. */
constexpr double hedgeDelayFactor = 2.5;
/** Time for which a host that is silent, or was lost while it gathered, gets no part. Each host has
    to find out for itself and loses time with every trial. */
constexpr std::chrono::seconds silentHostAvoidance{5};
/** Time for which a host that has declined a part gets no other one. */
constexpr milliseconds decliningHostAvoidance{200};
constexpr int okStatus = 200;

duration acknowledgementTime(milliseconds latencyObjective)
{
    return std::clamp<duration>(scaled(latencyObjective, acknowledgementFraction),
                                minimumAcknowledgementTime, maximumAcknowledgementTime);
}

bool hasNumber(const http::response &response, part_number number)
{
    const auto field = http::findHeader(response.headers, partNumberField);
    return field && *field == std::to_string(number.value());
}

} // namespace

/** Connections to another host, and whether it is avoided. */
struct part_dispatcher::peer
{
    peer(net::loop &loop, const clock &clock, const endpoint &address, http::receive_memory &memory)
        : pool(loop, clock, address,
               {.maximumConnections = maximumConnections,
                .responseLimits = answerLimits,
                .memory = &memory})
    { }

    http::client_pool pool;
    time_point avoidedUntil{};
};

struct part_dispatcher::running_part
{
    running_part(part_number partNumber, net::loop &loop, std::function<void()> onTimeout)
        : number(partNumber)
        , acknowledgementTimer(loop, std::move(onTimeout))
    { }

    part_number number;
    std::vector<gatherer> hosts;
    std::size_t nextHost = 0;
    part_request request;
    result_handler handler;
    http::exchange_id exchange = 0;
    bool isAcknowledged = false;
    bool mayHaveRun = false;
    /** Whether the time for the acknowledgement is over. */
    bool isTimeOver = false;
    net::timer acknowledgementTimer;

    /** Precondition: it was sent. */
    [[nodiscard]] const gatherer &currentHost() const { return hosts[nextHost - 1]; }
};

part_dispatcher::part_dispatcher(net::loop &loop, const clock &clock, const logger &log,
                                 serving_metrics &metrics, http::receive_memory &memory,
                                 host_id ownHost)
    : m_loop(loop)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_memory(memory)
    , m_ownHost(std::move(ownHost))
{ }

part_dispatcher::~part_dispatcher() = default;

std::optional<part_number> part_dispatcher::send(const std::vector<gatherer> &hosts,
                                                 part_request request, result_handler handler)
{
    const part_number number(++m_lastNumber);
    auto part = std::make_unique<running_part>(number, m_loop,
                                               [this, number] { onNotAcknowledged(number); });
    const auto own = std::find_if(hosts.begin(), hosts.end(),
                                  [this](const gatherer &host) { return host.host == m_ownHost; });
    part->hosts.assign(hosts.begin(), own);
    part->request = std::move(request);
    part->handler = std::move(handler);
    if (!sendToNext(*part))
        return std::nullopt;
    m_parts.emplace(number, std::move(part));
    return number;
}

part_dispatcher::peer &part_dispatcher::peerOf(const gatherer &host)
{
    std::unique_ptr<peer> &entry = m_peers[host.address];
    if (!entry)
        entry = std::make_unique<peer>(m_loop, m_clock, host.address, m_memory);
    return *entry;
}

bool part_dispatcher::sendToNext(running_part &part)
{
    const time_point now = m_clock.now();
    while (part.nextHost < part.hosts.size()) {
        peer &next = peerOf(part.hosts[part.nextHost++]);
        if (next.avoidedUntil > now || !next.pool.hasCapacity())
            continue;
        const duration timeout = acknowledgementTime(part.request.latencyObjective);
        part.request.times.start = now + timeout / 2;
        part.request.times.hedges = now + scaled(timeout, hedgeDelayFactor);
        part.isAcknowledged = false;
        part.isTimeOver = false;
        const std::string body = encodePartRequest(part.request, now);
        http::exchange_request request;
        request.bytes = fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n"
                                    "Content-Length: {}\r\n\r\n",
                                    partTarget, next.pool.peer().toString(), partNumberField,
                                    part.number.value(), body.size());
        request.bytes.append(body);
        const part_number number = part.number;
        request.matchesRequest = [number](const http::response &response) {
            // A host of another release rejects a part without its number.
            return response.status != okStatus || hasNumber(response, number);
        };
        request.onInterim = [this, number](const http::response &response) {
            if (response.status == partAcceptedStatus && hasNumber(response, number))
                onAcknowledged(number);
        };
        request.onEnd = [this, number](http::exchange_result &&result) {
            onExchangeEnd(number, std::move(result));
        };
        part.exchange = next.pool.send(std::move(request));
        part.acknowledgementTimer.start(timeout);
        return true;
    }
    return false;
}

void part_dispatcher::sendOn(running_part &part)
{
    if (!sendToNext(part))
        finish(part, {part_end::Untaken, {}, part.mayHaveRun});
}

void part_dispatcher::onAcknowledged(part_number number)
{
    const auto found = m_parts.find(number);
    if (found == m_parts.end())
        return;
    found->second->isAcknowledged = true;
    found->second->acknowledgementTimer.stop();
}

void part_dispatcher::onNotAcknowledged(part_number number)
{
    const auto found = m_parts.find(number);
    if (found == m_parts.end())
        return;
    running_part &part = *found->second;
    // The acknowledgement may have arrived while this host was busy, and is read before the timer
    // expires again.
    if (!std::exchange(part.isTimeOver, true))
        return part.acknowledgementTimer.start(duration::zero());
    peerOf(part.currentHost()).pool.cancel(part.exchange);
    avoid(part.currentHost(), silentHostAvoidance);
    logFailure(part, "not-acknowledged");
    repeatElsewhere(part);
}

void part_dispatcher::repeatElsewhere(running_part &part)
{
    part.mayHaveRun = true;
    part.request.isRepeated = true;
    // The silent host may have sent the part to one target of each shard.
    if (part.request.maximumTargets < 2)
        return finish(part, {part_end::Lost, {}, true});
    part.request.maximumTargets = 1;
    sendOn(part);
}

void part_dispatcher::onExchangeEnd(part_number number, http::exchange_result &&result)
{
    const auto found = m_parts.find(number);
    if (found == m_parts.end())
        return;
    running_part &part = *found->second;
    part.acknowledgementTimer.stop();
    switch (result.end) {
    case http::exchange_end::Answered:
        return onResponse(part, result.answer);
    case http::exchange_end::NotSent:
        avoid(part.currentHost(), silentHostAvoidance);
        logFailure(part, "not-connected");
        return sendOn(part);
    case http::exchange_end::Lost:
    case http::exchange_end::Oversized:
        break;
    }
    avoid(part.currentHost(), silentHostAvoidance);
    logFailure(part, part.isAcknowledged ? "lost" : "closed");
    if (part.isAcknowledged)
        return finish(part, {part_end::Lost, {}, true});
    repeatElsewhere(part);
}

void part_dispatcher::onResponse(running_part &part, const http::response &response)
{
    if (response.status != okStatus) {
        avoid(part.currentHost(), silentHostAvoidance);
        logFailure(part, "rejected");
        return sendOn(part);
    }
    part_result result{part_end::Answered, {}, part.mayHaveRun};
    try {
        result.answer = decodePartAnswer(response.body, part.request.shards.size());
    } catch (const malformed_part_error &failure) {
        logFailure(part, failure.what());
        return finish(part, {part_end::Lost, {}, true});
    }
    if (result.answer.outcome != part_outcome::Declined)
        return finish(part, std::move(result));
    avoid(part.currentHost(), decliningHostAvoidance);
    logFailure(part, nameOf(result.answer.declineReason));
    sendOn(part);
}

void part_dispatcher::avoid(const gatherer &host, duration time)
{
    time_point &until = peerOf(host).avoidedUntil;
    until = std::max(until, m_clock.now() + time);
}

void part_dispatcher::logFailure(const running_part &part, std::string_view reason) const
{
    m_log.writeRateLimited("part-failed",
                           {{"id", part.request.callerRequest->id.value()},
                            {"gatherer", part.currentHost().host.value()},
                            {"reason", reason},
                            {"shards", part.request.shards.size()}});
}

void part_dispatcher::finish(running_part &part, part_result &&result)
{
    m_metrics.countSentPart(result.end == part_end::Answered      ? "answered"
                                : result.end == part_end::Untaken ? "untaken"
                                                                  : "lost");
    const auto handler = std::move(part.handler);
    m_parts.erase(part.number);
    handler(std::move(result));
}

void part_dispatcher::cancel(part_number number)
{
    const auto found = m_parts.find(number);
    if (found == m_parts.end())
        return;
    const running_part &part = *found->second;
    peerOf(part.currentHost()).pool.cancel(part.exchange);
    m_metrics.countSentPart("cancelled");
    m_parts.erase(found);
}

void part_dispatcher::retainOnly(const gathering_plan &plan)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        return !plan.isMemberAddress(entry.first) && entry.second->pool.busyConnectionCount() == 0;
    });
}

} // namespace mustardcourse::serving
