#include "target_server.h"

#include <mustardcourse/core/hash.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace mustardcourse::standins {

using nlohmann::json;
using wire::http_request;
using wire::http_response;

namespace {

constexpr std::size_t documentsPerShard = 50;
constexpr double hashRange = 18446744073709551616.0;

std::string queryParameter(const http_request &request, const std::string &name)
{
    const auto found = request.arguments.find(name);
    return found == request.arguments.end() ? std::string() : found->second;
}

std::uint64_t numericParameter(const http_request &request, const std::string &name)
{
    return std::strtoull(queryParameter(request, name).c_str(), nullptr, 10);
}

http_response respond(int code, const json &body)
{
    http_response response;
    response.status = code;
    response.body = body.dump();
    return response;
}

/** Returns the highest-scored documents of a shard; each one contains the index version. */
json generateHits(const std::string &service, std::uint64_t shard, std::uint64_t version,
                  const std::string &query, std::size_t limit)
{
    struct scored_document
    {
        double score;
        std::size_t number;
    };
    std::vector<scored_document> documents;
    for (std::size_t number = 0; number < documentsPerShard; ++number) {
        const std::string text = fmt::format("{}/{}/{}/{}", service, shard, number, query);
        documents.push_back({static_cast<double>(stableHash(text)) / hashRange, number});
    }
    std::sort(documents.begin(), documents.end(),
              [](const auto &left, const auto &right) { return left.score > right.score; });
    documents.resize(std::min(limit, documents.size()));
    json hits = json::array();
    for (const scored_document &document : documents)
        hits.push_back({{"key", fmt::format("{}-{}-{}", service, shard, document.number)},
                        {"score", document.score},
                        {"document", fmt::format("version {}", version)}});
    return hits;
}

template <typename Value>
void assignIfPresent(const json &body, const char *name, Value &value)
{
    if (body.contains(name))
        value = body[name].get<Value>();
}

void assignIfPresent(const json &body, const char *name, std::chrono::microseconds &value)
{
    if (body.contains(name))
        value = std::chrono::microseconds(body[name].get<std::int64_t>());
}

} // namespace

/**
    Counts a request as running during its lifetime.

    If it is destroyed before finish(), it counts as cancelled.
*/
class target_server::running_request
{
public:
    explicit running_request(target_server &owner)
        : m_owner(owner)
    {
        target_records &records = owner.m_records;
        ++owner.m_runningCount;
        records.peakRunning = std::max(records.peakRunning, owner.m_runningCount);
        if (owner.isCold())
            records.peakRunningCold = std::max(records.peakRunningCold, owner.m_runningCount);
    }

    ~running_request()
    {
        --m_owner.m_runningCount;
        if (!m_isFinished)
            ++m_owner.m_records.cancelled;
    }

    KJ_DISALLOW_COPY(running_request);

    void finish() { m_isFinished = true; }

private:
    target_server &m_owner;
    bool m_isFinished = false;
};

target_server::target_server(wire::event_loop &loop, const clock &clock,
                             const endpoint &listenAddress, target_behaviour behaviour,
                             std::size_t maximumConnections, std::uint64_t seed)
    : m_loop(loop)
    , m_clock(clock)
    , m_behaviour(std::move(behaviour))
    , m_random(seed)
    , m_server(loop, listenAddress, *this, {.maximumConnections = maximumConnections})
{ }

void target_server::restart()
{
    ++m_incarnation;
    m_searchesSinceStart = 0;
    m_overloadedUntil = {};
    m_restarting = kj::evalLater([this] { m_server.abortConnections(); }).eagerlyEvaluate(nullptr);
}

bool target_server::isCold() const noexcept
{
    return m_searchesSinceStart < m_behaviour.coldSearches;
}

json target_server::statusFields() const
{
    return {{"incarnation", m_incarnation},
            {"held", m_behaviour.heldVersions},
            {"leaving", m_behaviour.isLeaving},
            {"load", static_cast<double>(m_runningCount) / static_cast<double>(m_behaviour.slots)}};
}

http_response target_server::rejectWith(int code, const char *reason)
{
    json body = statusFields();
    body["error"] = reason;
    return respond(code, body);
}

bool target_server::admit()
{
    m_records.lastRequestTime = m_clock.now();
    m_records.peakConnections = std::max(m_records.peakConnections, m_server.connectionCount());
    if (m_clock.now() < m_overloadedUntil)
        return false;
    if (isCold() && m_runningCount >= m_behaviour.coldSlots) {
        ++m_records.coldOverloads;
        m_overloadedUntil = m_clock.now() + m_behaviour.overloadRecoveryTime;
        m_searchesSinceStart = 0;
        return false;
    }
    return m_runningCount < m_behaviour.slots;
}

duration target_server::drawServiceTime()
{
    std::lognormal_distribution<double> serviceTimeFactor(0, m_behaviour.serviceSigma);
    std::bernoulli_distribution isStraggler(m_behaviour.stragglerFraction);
    double factor = serviceTimeFactor(m_random);
    if (isStraggler(m_random))
        factor *= m_behaviour.stragglerFactor;
    const auto serviceMicroseconds = static_cast<double>(m_behaviour.serviceTime.count()) * factor;
    return std::chrono::microseconds(std::llround(serviceMicroseconds));
}

kj::Promise<http_response> target_server::handle(const http_request &request)
{
    if (request.path == "/v1/search")
        return search(request);
    if (request.path == "/v1/execute")
        return execute(request);
    if (request.path == "/v1/status")
        return status();
    if (request.path == "/control")
        return control(request);
    return respond(404, {{"error", "notFound"}});
}

kj::Promise<http_response> target_server::search(const http_request &request)
{
    ++m_records.searches;
    const auto version = numericParameter(request, "version");
    const auto &heldVersions = m_behaviour.heldVersions;
    const bool isShardCountDifferent =
        m_behaviour.shardCount != 0 && numericParameter(request, "of") != m_behaviour.shardCount;
    if (!admit()) {
        ++m_records.shed;
        return rejectWith(503, "shed");
    }
    if (isShardCountDifferent)
        return rejectWith(409, "layoutChanged");
    if (std::find(heldVersions.begin(), heldVersions.end(), version) == heldVersions.end())
        return rejectWith(410, "versionGone");

    auto running = kj::heap<running_request>(*this);
    running_request &state = *running;
    const time_point deadline =
        m_clock.now() + std::chrono::microseconds(numericParameter(request, "budget_us"));
    return m_loop.sleep(drawServiceTime() + 2 * m_behaviour.networkDelay)
        .then([this, request, deadline, &state] {
            state.finish();
            return finishSearch(request, deadline);
        })
        .attach(kj::mv(running));
}

http_response target_server::finishSearch(const http_request &request, time_point deadline)
{
    if (m_clock.now() > deadline) {
        ++m_records.deadlinesPassed;
        return rejectWith(504, "deadlinePassed");
    }
    ++m_searchesSinceStart;
    json body = statusFields();
    const auto shard = numericParameter(request, "shard");
    const auto version = numericParameter(request, "version");
    body["id"] = queryParameter(request, "id");
    if (m_behaviour.mismatchedResponses > 0) {
        --m_behaviour.mismatchedResponses;
        body["id"] = "another request";
    }
    body["shard"] = shard;
    body["of"] = numericParameter(request, "of");
    body["version"] = version;
    body["hits"] = generateHits(queryParameter(request, "service"), shard, version,
                                queryParameter(request, "q"), numericParameter(request, "limit"));
    return respond(200, body);
}

kj::Promise<http_response> target_server::execute(const http_request &request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("id"))
        return rejectWith(400, "malformedRequest");
    if (!admit()) {
        ++m_records.shed;
        return rejectWith(503, "shed");
    }
    if (m_behaviour.abortsBeforeRun > 0) {
        --m_behaviour.abortsBeforeRun;
        http_response abortedResponse;
        abortedResponse.shouldAbortConnection = true;
        return abortedResponse;
    }
    if (body.value("body", "") == "reject")
        return rejectWith(400, "rejected");

    auto running = kj::heap<running_request>(*this);
    running->finish();
    const std::string id = body.value("id", "");
    ++m_records.executions[id];
    return m_loop.sleep(drawServiceTime() + 2 * m_behaviour.networkDelay)
        .then([this, id] { return finishExecute(id); })
        .attach(kj::mv(running));
}

http_response target_server::finishExecute(const std::string &id)
{
    if (m_behaviour.abortsAfterRun > 0) {
        --m_behaviour.abortsAfterRun;
        http_response abortedResponse;
        abortedResponse.shouldAbortConnection = true;
        return abortedResponse;
    }
    json reply = statusFields();
    reply["id"] = id;
    reply["run"] = m_records.executions[id];
    return respond(200, reply);
}

http_response target_server::status()
{
    json body = statusFields();
    body["healthy"] = m_behaviour.isReportedHealthy;
    return respond(200, body);
}

http_response target_server::control(const http_request &request)
{
    const json body =
        request.body.empty() ? json::object() : json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return rejectWith(400, "malformedRequest");
    target_behaviour &behaviour = m_behaviour;
    assignIfPresent(body, "slots", behaviour.slots);
    assignIfPresent(body, "cold_slots", behaviour.coldSlots);
    assignIfPresent(body, "cold_searches", behaviour.coldSearches);
    assignIfPresent(body, "service_us", behaviour.serviceTime);
    assignIfPresent(body, "straggler_fraction", behaviour.stragglerFraction);
    assignIfPresent(body, "straggler_factor", behaviour.stragglerFactor);
    assignIfPresent(body, "network_us", behaviour.networkDelay);
    assignIfPresent(body, "held", behaviour.heldVersions);
    assignIfPresent(body, "shard_count", behaviour.shardCount);
    assignIfPresent(body, "leaving", behaviour.isLeaving);
    assignIfPresent(body, "healthy", behaviour.isReportedHealthy);
    assignIfPresent(body, "crossed_answers", behaviour.mismatchedResponses);
    assignIfPresent(body, "cuts_before_run", behaviour.abortsBeforeRun);
    assignIfPresent(body, "cuts_after_run", behaviour.abortsAfterRun);
    if (body.value("restart", false))
        restart();

    const auto sinceDispatch = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_clock.now() - m_records.lastRequestTime);
    return respond(200,
                   {{"executions", m_records.executions},
                    {"searches", m_records.searches},
                    {"cancelled", m_records.cancelled},
                    {"shed", m_records.shed},
                    {"deadlines_passed", m_records.deadlinesPassed},
                    {"most_running", m_records.peakRunning},
                    {"most_running_cold", m_records.peakRunningCold},
                    {"cold_overloads", m_records.coldOverloads},
                    {"most_connections", m_records.peakConnections},
                    {"since_dispatch_ms", sinceDispatch.count()}});
}

} // namespace mustardcourse::standins
