#include "load_generator.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardcourse::standins {

using nlohmann::json;

namespace {

json requestBody(const load_plan &plan, const load_sample &sample, std::uint64_t number,
                 const clock &clock)
{
    const auto deadlineMilliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(plan.deadline).count();
    json body{{"id", fmt::format("load-{}-{}", plan.seed, number)},
              {"service", plan.service},
              {"class", limits::nameOf(sample.importance)},
              {"deadline_ms", deadlineMilliseconds}};
    if (sample.isLookup) {
        body["query"] = fmt::format("query {}", number);
        return body;
    }
    const auto now =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock.wallNow().time_since_epoch());
    body["key"] = fmt::format("key-{}", number);
    body["body"] = "reserve";
    body["issued_at_ms"] = now.count();
    return body;
}

void parseResponse(load_sample &sample, const json &body)
{
    sample.outcome = body.value("outcome", "malformed");
    if (sample.outcome == "notRun" || sample.outcome == "unknown")
        sample.outcome += ":" + body.value("reason", "");
    const auto coverage = body.find("coverage");
    if (coverage == body.end())
        return;
    sample.answered = coverage->value("answered", std::size_t{0});
    sample.expected = coverage->value("expected", std::size_t{0});
    sample.targetCalls = body.value("target_calls", std::uint32_t{0});
}

} // namespace

load_generator::load_generator(wire::event_loop &loop, const clock &clock, load_plan plan)
    : m_loop(loop)
    , m_clock(clock)
    , m_plan(std::move(plan))
    , m_random(m_plan.seed)
{
    for (const endpoint &host : m_plan.hosts)
        m_hosts.push_back({host, {}});
}

kj::Promise<std::vector<load_sample>> load_generator::run()
{
    m_endTime = m_clock.now() + m_plan.length;
    return sendDueRequests(m_clock.now())
        .then([this] { return kj::joinPromises(m_pendingRequests.releaseAsArray()); })
        .then([this] { return std::move(m_samples); });
}

kj::Promise<void> load_generator::sendDueRequests(time_point intendedStart)
{
    std::exponential_distribution<double> arrivalInterval(m_plan.ratePerSecond);
    // Sends all requests that are due at once, so that a late timer does not reduce the rate.
    while (intendedStart <= m_clock.now()) {
        sendRequest(intendedStart);
        const std::chrono::duration<double> interval(arrivalInterval(m_random));
        intendedStart += std::chrono::duration_cast<duration>(interval);
    }
    if (intendedStart >= m_endTime)
        return kj::READY_NOW;
    return m_loop.sleep(intendedStart - m_clock.now()).then([this, intendedStart] {
        return sendDueRequests(intendedStart);
    });
}

wire::http_connection *load_generator::nextIdleConnection()
{
    host_connections &host = m_hosts[m_nextHost];
    m_nextHost = (m_nextHost + 1) % m_hosts.size();
    for (const auto &connection : host.connections) {
        if (!connection->isBusy())
            return connection.get();
    }
    if (host.connections.size() >= m_plan.maximumConnectionsPerHost)
        return nullptr;
    host.connections.push_back(std::make_unique<wire::http_connection>(m_loop, host.address));
    return host.connections.back().get();
}

void load_generator::sendRequest(time_point intendedStart)
{
    std::discrete_distribution<int> classes(m_plan.classWeights.begin(), m_plan.classWeights.end());
    std::bernoulli_distribution isRequest(m_plan.requestFraction);
    load_sample sample;
    sample.importance = static_cast<limits::customer_class>(classes(m_random));
    sample.isLookup = !isRequest(m_random);

    wire::http_connection *connection = nextIdleConnection();
    if (connection == nullptr) {
        sample.outcome = "notSent:noConnection";
        m_samples.push_back(std::move(sample));
        return;
    }
    constexpr std::chrono::seconds responseMargin{2};
    wire::outgoing_request request;
    request.path = sample.isLookup ? "/v1/lookup" : "/v1/request";
    request.body = requestBody(m_plan, sample, ++m_nextRequest, m_clock).dump();
    request.timeout = m_plan.deadline + responseMargin;
    m_pendingRequests.add(connection->exchange(std::move(request))
                              .then([this, sample = std::move(sample),
                                     intendedStart](wire::exchange_result &&result) mutable {
                                  recordSample(std::move(sample), result, intendedStart);
                              })
                              .eagerlyEvaluate(nullptr));
}

void load_generator::recordSample(load_sample sample, const wire::exchange_result &result,
                                  time_point intendedStart)
{
    sample.latency = m_clock.now() - intendedStart;
    if (result.outcome != wire::exchange_outcome::Answered) {
        sample.outcome = fmt::format("cut:{}", wire::nameOf(result.failure));
    } else {
        const json body = json::parse(result.response.body, nullptr, false);
        if (body.is_object())
            parseResponse(sample, body);
        else
            sample.outcome = "malformed";
    }
    m_samples.push_back(std::move(sample));
}

} // namespace mustardcourse::standins
