#include "platform_store.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace mustardcourse::standins {

using nlohmann::json;

namespace {

std::string unescape(std::string_view text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned byte = 0;
        if (text[i] == '%' && i + 2 < text.size()
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16).ec
                == std::errc{}) {
            plain.push_back(static_cast<char>(byte));
            i += 2;
            continue;
        }
        plain.push_back(text[i]);
    }
    return plain;
}

std::string argument(std::string_view target, std::string_view name)
{
    const auto query = target.find('?');
    if (query == std::string_view::npos)
        return "";
    std::string_view rest = target.substr(query + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos)
            return unescape(pair.substr(equals + 1));
        rest = pair.size() == rest.size() ? std::string_view{} : rest.substr(pair.size() + 1);
    }
    return "";
}

std::uint64_t number(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

http::reply reply(int status, const json &body = json::object())
{
    http::reply made;
    made.status = status;
    made.headers.push_back({"Content-Type", "application/json"});
    made.body = body.dump();
    return made;
}

} // namespace

struct platform_store::waiting_watch
{
    std::unique_ptr<http::caller_exchange> exchange;
    std::string prefix;
    std::uint64_t after = 0;
    std::unique_ptr<net::timer> timer;
    bool isOver = false;
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
    item &written = m_items[key];
    written.created = written.created == 0 ? m_revision : written.created;
    written.value = value;
    written.changed = m_revision;
    written.lease = leaseId;
    m_changes.push_back({m_revision, key, value, false});
    wakeWatches();
}

void platform_store::erase(const std::string &key)
{
    if (m_items.erase(key) == 0)
        return;
    ++m_revision;
    m_changes.push_back({m_revision, key, "", true});
    wakeWatches();
}

void platform_store::setMode(store_mode mode)
{
    m_mode = mode;
    if (mode == store_mode::Serving)
        wakeWatches();
}

void platform_store::forgetHistory()
{
    m_changes.clear();
    m_historyFrom = m_revision + 1;
    ++m_revision;
}

std::size_t platform_store::keyCount(const std::string &prefix) const
{
    std::size_t count = 0;
    for (const auto &[key, value] : m_items)
        count += key.starts_with(prefix) ? 1 : 0;
    return count;
}

void platform_store::serve(std::unique_ptr<http::caller_exchange> exchange)
{
    ++m_calls;
    const std::string target = exchange->receivedRequest().target;
    const std::string path = target.substr(0, target.find('?'));
    if (m_mode == store_mode::Busy)
        return exchange->respond(reply(503));
    if (m_mode == store_mode::Silent) {
        m_unanswered.push_back(std::move(exchange));
        return;
    }
    if (path == "/kv-range")
        return serveRange(*exchange);
    if (path == "/kv-watch")
        return serveWatch(std::move(exchange));
    if (path == "/kv-txn")
        serveTransaction(*exchange);
    else if (path == "/kv-lease")
        grantLease(*exchange);
    else if (path.starts_with("/kv-keep/"))
        keepLease(*exchange, number(path.substr(9)));
    else if (path.starts_with("/kv-lease-end/")) {
        endLease(number(path.substr(14)));
        exchange->respond(reply(200));
    } else
        exchange->respond(reply(404));
    if (m_mode == store_mode::AnswersLost)
        m_unanswered.push_back(std::move(exchange));
}

void platform_store::serveRange(http::caller_exchange &exchange)
{
    const std::string prefix = argument(exchange.receivedRequest().target, "PathPrefix");
    const std::string after = argument(exchange.receivedRequest().target, "after");
    json items = json::array();
    bool hasMore = false;
    for (const auto &[key, held] : m_items) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        if (items.size() == m_pageSize) {
            hasMore = true;
            break;
        }
        items.push_back({{"Key", key},
                         {"Value", absl::Base64Escape(held.value)},
                         {"Revision", held.changed},
                         {"CreateRev", held.created},
                         {"Lease", held.lease}});
    }
    exchange.respond(
        reply(200, {{"items", items}, {"MorePages", hasMore}, {"CurrentRev", m_revision}}));
}

void platform_store::serveWatch(std::unique_ptr<http::caller_exchange> exchange)
{
    auto watch = std::make_unique<waiting_watch>();
    const std::string target = exchange->receivedRequest().target;
    watch->prefix = argument(target, "PathPrefix");
    watch->after = number(argument(target, "after"));
    if (watch->after + 1 < m_historyFrom)
        return exchange->respond(reply(410));
    watch->exchange = std::move(exchange);
    waiting_watch *waiting = watch.get();
    watch->timer = std::make_unique<net::timer>(m_loop, [this, waiting] {
        waiting->isOver = true;
        wakeWatches();
    });
    watch->timer->start(std::chrono::milliseconds(number(argument(target, "WaitMs"))));
    m_watches.push_back(std::move(watch));
    wakeWatches();
}

bool platform_store::answerWatch(waiting_watch &watch, bool isOver)
{
    if (watch.after + 1 < m_historyFrom) {
        watch.exchange->respond(reply(410));
        return true;
    }
    json events = json::array();
    for (const change &each : m_changes) {
        if (each.revision <= watch.after || !each.key.starts_with(watch.prefix))
            continue;
        json event{{"Key", each.key}, {"Revision", each.revision}};
        if (each.isDeleted)
            event["Deleted"] = true;
        else
            event["Value"] = absl::Base64Escape(each.value);
        events.push_back(event);
    }
    if (events.empty() && !isOver)
        return false;
    watch.exchange->respond(reply(200, {{"events", events}, {"CurrentRev", m_revision}}));
    return true;
}

void platform_store::wakeWatches()
{
    if (m_mode == store_mode::Silent || m_mode == store_mode::Busy)
        return;
    for (auto each = m_watches.begin(); each != m_watches.end();) {
        if (answerWatch(**each, (*each)->isOver))
            each = m_watches.erase(each);
        else
            ++each;
    }
}

void platform_store::serveTransaction(http::caller_exchange &exchange)
{
    const json body = json::parse(exchange.receivedRequest().body);
    for (const json &condition : body.at("ExpectedRev")) {
        const auto found = m_items.find(condition.at("Key").get<std::string>());
        const std::uint64_t present = found == m_items.end() ? 0 : found->second.changed;
        if (present != condition.at("Revision").get<std::uint64_t>())
            return exchange.respond(reply(412));
    }
    for (const json &write : body.at("Writes")) {
        const std::uint64_t leaseId = write.value("Lease", std::uint64_t{0});
        if (leaseId != 0 && !m_leases.contains(leaseId))
            return exchange.respond(reply(404));
        std::string value;
        absl::Base64Unescape(write.at("Value").get<std::string>(), &value);
        putWithLease(write.at("Key").get<std::string>(), value, leaseId);
    }
    for (const json &key : body.at("Deletes"))
        erase(key.get<std::string>());
    if (m_mode != store_mode::AnswersLost)
        exchange.respond(reply(200, {{"Revision", m_revision}}));
}

void platform_store::grantLease(http::caller_exchange &exchange)
{
    const json body = json::parse(exchange.receivedRequest().body);
    const std::uint64_t id = ++m_lastLease;
    const std::chrono::milliseconds lifetime(body.at("TtlMs").get<std::uint64_t>());
    lease &granted = m_leases[id];
    granted.lifetime = lifetime;
    granted.expiry = std::make_unique<net::timer>(m_loop, [this, id] { endLease(id); });
    granted.expiry->start(lifetime);
    if (m_mode != store_mode::AnswersLost)
        exchange.respond(reply(200, {{"Lease", id}, {"TtlMs", lifetime.count()}}));
}

void platform_store::keepLease(http::caller_exchange &exchange, std::uint64_t id)
{
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return exchange.respond(reply(404));
    found->second.expiry->start(found->second.lifetime);
    if (m_mode != store_mode::AnswersLost)
        exchange.respond(reply(200));
}

void platform_store::endLease(std::uint64_t id)
{
    if (m_leases.erase(id) == 0)
        return;
    std::vector<std::string> ended;
    for (const auto &[key, held] : m_items) {
        if (held.lease == id)
            ended.push_back(key);
    }
    for (const std::string &key : ended)
        erase(key);
}

} // namespace mustardcourse::standins
