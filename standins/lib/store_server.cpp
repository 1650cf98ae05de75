#include "store_server.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardcourse::standins {

using nlohmann::json;
using wire::http_request;
using wire::http_response;

namespace {

http_response respond(int status, const json &body)
{
    http_response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

std::string queryParameter(const http_request &request, const std::string &name)
{
    const auto found = request.arguments.find(name);
    return found == request.arguments.end() ? std::string() : found->second;
}

std::uint64_t parseNumber(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

constexpr std::size_t maximumValueBytes = 1024 * 1024;

} // namespace

/** An open watch call, which is answered after the next change under its prefix. */
class store_server::waiting_watch
{
public:
    waiting_watch(kj::PromiseFulfiller<http_response> &fulfiller, store_server &owner,
                  std::string prefix, std::uint64_t after)
        : m_fulfiller(fulfiller)
        , m_owner(owner)
        , m_prefix(std::move(prefix))
        , m_after(after)
    {
        m_owner.m_watches.push_back(this);
        store_counts &counts = m_owner.m_counts;
        counts.peakWaitingWatches = std::max(counts.peakWaitingWatches, ++counts.waitingWatches);
    }

    ~waiting_watch()
    {
        std::erase(m_owner.m_watches, this);
        --m_owner.m_counts.waitingWatches;
    }

    KJ_DISALLOW_COPY(waiting_watch);

    void respondIfChanged()
    {
        const json changes = m_owner.changesSince(m_prefix, m_after);
        if (!changes.empty() && m_fulfiller.isWaiting())
            m_fulfiller.fulfill(
                respond(200, {{"revision", m_owner.m_revision}, {"changes", changes}}));
    }

private:
    kj::PromiseFulfiller<http_response> &m_fulfiller;
    store_server &m_owner;
    std::string m_prefix;
    std::uint64_t m_after;
};

store_server::store_server(wire::event_loop &loop, const clock &clock,
                           const endpoint &listenAddress)
    : m_loop(loop)
    , m_clock(clock)
    , m_server(loop, listenAddress, *this, {.maximumBodyBytes = 2 * maximumValueBytes})
{ }

store_server::~store_server()
{
    m_server.abortConnections();
}

std::optional<std::string> store_server::valueOf(const std::string &key) const
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return std::nullopt;
    return found->second.value;
}

kj::Promise<http_response> store_server::handle(const http_request &request)
{
    if (request.path == "/control")
        return control(request);
    if (m_faults.isUnresponsive)
        return kj::Promise<http_response>(kj::NEVER_DONE);
    if (m_faults.isDown)
        return respond(503, {{"error", "unavailable"}});
    expireLeases();
    if (m_faults.delay == std::chrono::microseconds::zero())
        return serve(request);
    return m_loop.sleep(m_faults.delay).then([this, request] { return serve(request); });
}

kj::Promise<http_response> store_server::serve(const http_request &request)
{
    if (request.path == "/v1/key")
        return read(request);
    if (request.path == "/v1/keys")
        return list(request);
    if (request.path == "/v1/swap")
        return compareAndSwap(request);
    if (request.path == "/v1/watch")
        return watch(request);
    if (request.path == "/v1/lease/grant")
        return grantLease(request);
    if (request.path == "/v1/lease/renew")
        return renewLease(request);
    return respond(404, {{"error", "notFound"}});
}

http_response store_server::read(const http_request &request)
{
    ++m_counts.reads;
    const std::string key = queryParameter(request, "key");
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return respond(200, {{"key", key}, {"revision", 0}, {"value", ""}});
    return respond(
        200, {{"key", key}, {"revision", found->second.revision}, {"value", found->second.value}});
}

json store_server::changesSince(const std::string &prefix, std::uint64_t revision) const
{
    json changes = json::array();
    for (const auto &[key, entry] : m_entries) {
        if (key.starts_with(prefix) && entry.revision > revision)
            changes.push_back({{"key", key}, {"revision", entry.revision}, {"value", entry.value}});
    }
    return changes;
}

http_response store_server::list(const http_request &request)
{
    ++m_counts.reads;
    return respond(200,
                   {{"revision", m_revision},
                    {"changes", changesSince(queryParameter(request, "prefix"), 0)}});
}

http_response store_server::compareAndSwap(const http_request &request)
{
    ++m_counts.writes;
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("key") || !body.contains("value"))
        return respond(400, {{"error", "malformedRequest"}});
    const auto key = body["key"].get<std::string>();
    auto value = body["value"].get<std::string>();
    if (value.size() > maximumValueBytes)
        return respond(413, {{"error", "valueTooLarge"}});

    const auto found = m_entries.find(key);
    const std::uint64_t currentRevision = found == m_entries.end() ? 0 : found->second.revision;
    if (currentRevision != body.value("expected", std::uint64_t{0}))
        return respond(200,
                       {{"swapped", false},
                        {"key", key},
                        {"revision", currentRevision},
                        {"value", currentRevision == 0 ? std::string() : found->second.value}});
    m_entries[key] = {std::move(value), ++m_revision, body.value("lease", std::uint64_t{0})};
    notifyWatches();
    http_response response = respond(200, {{"swapped", true}, {"revision", m_revision}});
    if (m_faults.lostSwapResponses > 0) {
        --m_faults.lostSwapResponses;
        response.shouldAbortConnection = true;
    }
    return response;
}

kj::Promise<http_response> store_server::watch(const http_request &request)
{
    ++m_counts.watches;
    const std::string prefix = queryParameter(request, "prefix");
    const std::uint64_t after = parseNumber(queryParameter(request, "after"));
    const json changes = changesSince(prefix, after);
    if (!changes.empty())
        return respond(200, {{"revision", m_revision}, {"changes", changes}});
    const std::chrono::milliseconds maximumWait(parseNumber(queryParameter(request, "wait_ms")));
    auto change = kj::newAdaptedPromise<http_response, waiting_watch>(*this, prefix, after);
    auto timeout = m_loop.sleep(maximumWait).then([this] {
        return respond(200, {{"revision", m_revision}, {"changes", json::array()}});
    });
    return change.exclusiveJoin(kj::mv(timeout));
}

void store_server::notifyWatches()
{
    for (waiting_watch *watch : m_watches)
        watch->respondIfChanged();
}

http_response store_server::grantLease(const http_request &request)
{
    ++m_counts.writes;
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("ttl_ms"))
        return respond(400, {{"error", "malformedRequest"}});
    const std::chrono::milliseconds timeToLive(body["ttl_ms"].get<std::int64_t>());
    m_leases[++m_nextLease] = m_clock.now() + timeToLive;
    return respond(200, {{"lease", m_nextLease}});
}

http_response store_server::renewLease(const http_request &request)
{
    ++m_counts.writes;
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("lease") || !body.contains("ttl_ms"))
        return respond(400, {{"error", "malformedRequest"}});
    const auto found = m_leases.find(body["lease"].get<std::uint64_t>());
    if (found == m_leases.end())
        return respond(410, {{"error", "leaseGone"}});
    found->second = m_clock.now() + std::chrono::milliseconds(body["ttl_ms"].get<std::int64_t>());
    return respond(200, {{"lease", found->first}});
}

void store_server::expireLeases()
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second > m_clock.now()) {
            ++lease;
            continue;
        }
        const std::uint64_t expiredLease = lease->first;
        std::erase_if(m_entries,
                      [&](const auto &item) { return item.second.lease == expiredLease; });
        lease = m_leases.erase(lease);
    }
}

http_response store_server::control(const http_request &request)
{
    const json body =
        request.body.empty() ? json::object() : json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return respond(400, {{"error", "malformedRequest"}});
    m_faults.isDown = body.value("down", m_faults.isDown);
    m_faults.isUnresponsive = body.value("silent", m_faults.isUnresponsive);
    m_faults.delay = std::chrono::microseconds(body.value("delay_us", m_faults.delay.count()));
    m_faults.lostSwapResponses = body.value("lost_swap_answers", m_faults.lostSwapResponses);
    return respond(200,
                   {{"reads", m_counts.reads},
                    {"writes", m_counts.writes},
                    {"watches", m_counts.watches},
                    {"waiting_watches", m_counts.waitingWatches},
                    {"most_waiting_watches", m_counts.peakWaitingWatches}});
}

} // namespace mustardcourse::standins
