#include "platform_store.h"

#include <absl/strings/escaping.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace mustardcourse::standins {

using nlohmann::json;

namespace {

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned byte = 0;
        if (text[i] == '%' && i + 2 < text.size()
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16).ec
                == std::errc{}) {
            decoded.push_back(static_cast<char>(byte));
            i += 2;
            continue;
        }
        decoded.push_back(text[i]);
    }
    return decoded;
}

std::string queryParameter(std::string_view target, std::string_view name)
{
    const auto query = target.find('?');
    if (query == std::string_view::npos)
        return "";
    std::string_view remaining = target.substr(query + 1);
    while (!remaining.empty()) {
        const std::string_view pair = remaining.substr(0, remaining.find('&'));
        const auto separator = pair.find('=');
        if (pair.substr(0, separator) == name && separator != std::string_view::npos)
            return percentDecode(pair.substr(separator + 1));
        remaining = pair.size() == remaining.size() ? std::string_view{}
                                                    : remaining.substr(pair.size() + 1);
    }
    return "";
}

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

/** An open watch call, which is answered after a change or at its timeout. */
struct platform_store::waiting_watch
{
    std::unique_ptr<http::caller_exchange> exchange;
    std::string prefix;
    std::uint64_t after = 0;
    std::unique_ptr<net::timer> timer;
    bool hasTimedOut = false;
};

platform_store::platform_store(net::loop &loop, const clock &clock, const endpoint &address)
    : m_loop(loop)
    , m_clock(clock)
    , m_server(loop, clock, address, [this](auto exchange) { serve(std::move(exchange)); })
{
    m_server.setLimits({.idleTimeout = std::chrono::minutes(5)});
}

platform_store::~platform_store() = default;

void platform_store::put(const std::string &key, const std::string &value)
{
    putWithLease(key, value, 0);
}

void platform_store::putWithLease(const std::string &key, const std::string &value,
                                  std::uint64_t leaseId)
{
    ++m_revision;
    stored_entry &entry = m_entries[key];
    entry.createdRevision = entry.createdRevision == 0 ? m_revision : entry.createdRevision;
    entry.value = value;
    entry.modifiedRevision = m_revision;
    entry.lease = leaseId;
    const json event{{"Key", key}, {"Revision", m_revision}, {"Value", absl::Base64Escape(value)}};
    m_changes.push_back({m_revision, key, event.dump()});
    answerWatches();
}

void platform_store::erase(const std::string &key)
{
    if (m_entries.erase(key) == 0)
        return;
    ++m_revision;
    const json event{{"Key", key}, {"Revision", m_revision}, {"Deleted", true}};
    m_changes.push_back({m_revision, key, event.dump()});
    answerWatches();
}

void platform_store::setMode(store_mode mode)
{
    m_mode = mode;
    if (mode == store_mode::Serving)
        answerWatches();
}

void platform_store::cutWatches()
{
    m_watches.clear();
}

void platform_store::compactHistory()
{
    m_changes.clear();
    m_oldestRetainedRevision = m_revision + 1;
    ++m_revision;
}

void platform_store::takeCopy()
{
    m_copy = {m_entries, m_changes, m_revision, m_oldestRetainedRevision, m_lastLeaseId, {}};
    for (const auto &[id, granted] : m_leases)
        m_copy.leaseLifetimes.emplace(id, granted.lifetime);
}

void platform_store::restoreCopy(pending_watches watches)
{
    ++m_era;
    m_entries = m_copy.entries;
    m_changes = m_copy.changes;
    m_revision = m_copy.revision;
    m_oldestRetainedRevision = m_copy.oldestRetainedRevision;
    m_lastLeaseId = m_copy.lastLeaseId;
    m_leases.clear();
    for (const auto &[id, lifetime] : m_copy.leaseLifetimes)
        startLease(id, lifetime);
    if (watches == pending_watches::Hang) {
        for (const auto &watch : m_watches)
            m_unanswered.push_back(std::move(watch->exchange));
    }
    m_watches.clear();
}

void platform_store::respond(http::caller_exchange &exchange, int status, const std::string &body)
{
    http::reply answer;
    answer.status = status;
    answer.headers.push_back({"Content-Type", "application/json"});
    if (m_isReportingEra)
        answer.headers.push_back({"Store-Era", std::to_string(m_era)});
    answer.body = body;
    exchange.respond(answer);
}

std::size_t platform_store::keyCount(const std::string &prefix) const
{
    return keys(prefix).size();
}

std::vector<std::string> platform_store::keys(const std::string &prefix) const
{
    std::vector<std::string> found;
    for (const auto &[key, entry] : m_entries) {
        if (key.starts_with(prefix))
            found.push_back(key);
    }
    return found;
}

json platform_store::describe(const std::string &key, const stored_entry &entry)
{
    return {{"Key", key},
            {"Value", absl::Base64Escape(entry.value)},
            {"Revision", entry.modifiedRevision},
            {"CreateRev", entry.createdRevision},
            {"Lease", entry.lease}};
}

json platform_store::describeConditions(const json &conditions) const
{
    json items = json::array();
    for (const json &condition : conditions) {
        const auto found = m_entries.find(condition.at("Key").get<std::string>());
        if (found != m_entries.end())
            items.push_back(describe(found->first, found->second));
    }
    return items;
}

void platform_store::serve(std::unique_ptr<http::caller_exchange> exchange)
{
    ++m_callCount;
    const std::string target = exchange->receivedRequest().target;
    const std::string path = target.substr(0, target.find('?'));
    if (m_mode == store_mode::Unavailable)
        return respond(*exchange, 503);
    if (m_mode == store_mode::Unresponsive || isToBeLost(path)) {
        m_unanswered.push_back(std::move(exchange));
        return;
    }
    // Without a response, the connection closes with the exchange.
    if (!m_closedPathPrefix.empty() && path.starts_with(m_closedPathPrefix))
        return;
    if (path == "/kv-range")
        return serveRange(*exchange);
    if (path == "/kv-watch")
        return serveWatch(std::move(exchange));
    if (path == "/kv-txn")
        serveTransaction(*exchange);
    else if (path == "/kv-lease")
        grantLease(*exchange);
    else if (path.starts_with("/kv-keep/"))
        renewLease(*exchange, parseNumber(path.substr(9)));
    else if (path.starts_with("/kv-lease-end/")) {
        removeLease(parseNumber(path.substr(14)));
        respond(*exchange, 200);
    } else
        respond(*exchange, 404);
    if (m_mode == store_mode::LostWriteResponses)
        m_unanswered.push_back(std::move(exchange));
}

void platform_store::serveRange(http::caller_exchange &exchange)
{
    const std::string prefix = queryParameter(exchange.receivedRequest().target, "PathPrefix");
    const std::string after = queryParameter(exchange.receivedRequest().target, "after");
    json entries = json::array();
    bool hasMore = false;
    for (const auto &[key, entry] : m_entries) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        if (entries.size() == m_pageSize) {
            hasMore = true;
            break;
        }
        entries.push_back(describe(key, entry));
    }
    const json body{{"items", entries}, {"MorePages", hasMore}, {"CurrentRev", m_revision}};
    respond(exchange, 200, body.dump());
}

void platform_store::serveWatch(std::unique_ptr<http::caller_exchange> exchange)
{
    auto watch = std::make_unique<waiting_watch>();
    const std::string target = exchange->receivedRequest().target;
    watch->prefix = queryParameter(target, "PathPrefix");
    watch->after = parseNumber(queryParameter(target, "after"));
    const bool isKnownRevision =
        watch->after <= m_revision && watch->after + 1 >= m_oldestRetainedRevision;
    if (!isKnownRevision)
        return respond(*exchange, 410);
    watch->exchange = std::move(exchange);
    waiting_watch *unansweredWatch = watch.get();
    watch->timer = std::make_unique<net::timer>(m_loop, [this, unansweredWatch] {
        unansweredWatch->hasTimedOut = true;
        answerWatches();
    });
    watch->timer->start(std::chrono::milliseconds(parseNumber(queryParameter(target, "WaitMs"))));
    m_watches.push_back(std::move(watch));
    answerWatches();
}

bool platform_store::answerWatch(waiting_watch &watch, bool hasTimedOut)
{
    if (watch.after + 1 < m_oldestRetainedRevision) {
        respond(*watch.exchange, 410);
        return true;
    }
    std::string events;
    std::uint64_t coveredRevision = m_revision;
    for (const change &keyChange : m_changes) {
        if (keyChange.revision <= watch.after || !keyChange.key.starts_with(watch.prefix))
            continue;
        if (events.size() >= m_watchResponseBytes) {
            coveredRevision = keyChange.revision - 1;
            break;
        }
        events.append(events.empty() ? "" : ",").append(keyChange.event);
    }
    if (events.empty() && !hasTimedOut)
        return false;
    respond(*watch.exchange, 200,
            fmt::format(R"({{"events":[{}],"CurrentRev":{}}})", events, coveredRevision));
    return true;
}

bool platform_store::isToBeLost(std::string_view path)
{
    if (m_lostPathPrefix.empty() || !path.starts_with(m_lostPathPrefix))
        return false;
    if (m_callLostAt) {
        m_lostCallRepeatedAt = m_lostCallRepeatedAt.value_or(m_clock.now());
        return false;
    }
    m_callLostAt = m_clock.now();
    return true;
}

std::optional<duration> platform_store::timeUntilLostCallWasRepeated() const
{
    if (!m_lostCallRepeatedAt)
        return std::nullopt;
    return *m_lostCallRepeatedAt - *m_callLostAt;
}

void platform_store::answerWatches()
{
    if (m_mode == store_mode::Unresponsive || m_mode == store_mode::Unavailable)
        return;
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        if (answerWatch(**watch, (*watch)->hasTimedOut))
            watch = m_watches.erase(watch);
        else
            ++watch;
    }
}

void platform_store::serveTransaction(http::caller_exchange &exchange)
{
    const json body = json::parse(exchange.receivedRequest().body);
    for (const json &condition : body.at("ExpectedRev")) {
        const auto found = m_entries.find(condition.at("Key").get<std::string>());
        const std::uint64_t currentRevision =
            found == m_entries.end() ? 0 : found->second.modifiedRevision;
        if (currentRevision != condition.at("Revision").get<std::uint64_t>())
            return respond(exchange, 412,
                           json{{"items", describeConditions(body.at("ExpectedRev"))}}.dump());
    }
    for (const json &write : body.at("Writes")) {
        const std::uint64_t leaseId = write.value("Lease", std::uint64_t{0});
        if (leaseId != 0 && !m_leases.contains(leaseId))
            return respond(exchange, 404);
        std::string value;
        absl::Base64Unescape(write.at("Value").get<std::string>(), &value);
        putWithLease(write.at("Key").get<std::string>(), value, leaseId);
    }
    for (const json &key : body.at("Deletes"))
        erase(key.get<std::string>());
    if (m_mode != store_mode::LostWriteResponses)
        respond(exchange, 200, json{{"Revision", m_revision}}.dump());
}

void platform_store::grantLease(http::caller_exchange &exchange)
{
    const json body = json::parse(exchange.receivedRequest().body);
    const std::uint64_t id = ++m_lastLeaseId;
    const std::chrono::milliseconds lifetime(body.at("TtlMs").get<std::uint64_t>());
    startLease(id, lifetime);
    if (m_mode != store_mode::LostWriteResponses)
        respond(exchange, 200, json{{"Lease", id}, {"TtlMs", lifetime.count()}}.dump());
}

void platform_store::startLease(std::uint64_t id, duration lifetime)
{
    lease &granted = m_leases[id];
    granted.lifetime = lifetime;
    granted.expiry = std::make_unique<net::timer>(m_loop, [this, id] { removeLease(id); });
    granted.expiry->start(lifetime);
}

void platform_store::renewLease(http::caller_exchange &exchange, std::uint64_t id)
{
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return respond(exchange, 404);
    found->second.expiry->start(found->second.lifetime);
    if (m_mode != store_mode::LostWriteResponses)
        respond(exchange, 200);
}

void platform_store::removeLease(std::uint64_t id)
{
    if (m_leases.erase(id) == 0)
        return;
    std::vector<std::string> expiredKeys;
    for (const auto &[key, entry] : m_entries) {
        if (entry.lease == id)
            expiredKeys.push_back(key);
    }
    for (const std::string &key : expiredKeys)
        erase(key);
}

} // namespace mustardcourse::standins
