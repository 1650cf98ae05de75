#include <mustardcourse/store/change_relay.h>

#include <charconv>

namespace mustardcourse::store {

namespace {

std::optional<revision> revisionIn(std::string_view target)
{
    if (!target.starts_with(relayPath))
        return std::nullopt;
    const std::string_view digits = target.substr(relayPath.size());
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    return revision(number);
}

http::reply statusOnly(int status)
{
    http::reply reply;
    reply.status = status;
    return reply;
}

} // namespace

void change_relay::serve(std::unique_ptr<http::caller_exchange> exchange)
{
    const auto since = revisionIn(exchange->receivedRequest().target);
    if (!since)
        return exchange->respond(statusOnly(relay_status::badRequest));
    if (!m_isServing)
        return exchange->respond(statusOnly(relay_status::notServed));
    if (m_isStoreAway)
        return exchange->respond(statusOnly(relay_status::storeAway));
    const auto kept = m_log.changesSince(*since);
    if (!kept || !kept->items.empty())
        return answer({*since, std::move(exchange)});
    const std::uint64_t number = ++m_lastWaiting;
    exchange->onDisconnect([this, number] { forget(number); });
    m_waiting.emplace(number, waiting_host{*since, std::move(exchange)});
}

void change_relay::forget(std::uint64_t number)
{
    m_waiting.erase(number);
}

void change_relay::answer(waiting_host &&waiting) const
{
    const auto kept = m_log.changesSince(waiting.since);
    if (!kept)
        return waiting.exchange->respond(statusOnly(relay_status::notServed));
    http::reply reply;
    reply.status = relay_status::changes;
    reply.headers.push_back({"Content-Type", "application/octet-stream"});
    reply.body = encodeBatch(*kept);
    waiting.exchange->respond(reply);
}

void change_relay::noteChanges(revision since, const store_batch &changes)
{
    // A store that has dropped its history answers, only not to this question.
    const bool isHistoryGone = changes.failure == store_failure::HistoryCompacted;
    m_isStoreAway = changes.failure != store_failure::None && !isHistoryGone;
    if (m_isStoreAway)
        return refuseAll(relay_status::storeAway);
    if (isHistoryGone)
        return refuseAll(relay_status::notServed);
    m_log.append(since, changes);
    auto waiting = std::exchange(m_waiting, {});
    for (auto &[number, host] : waiting)
        answer(std::move(host));
}

void change_relay::setServing(bool isServing)
{
    m_isServing = isServing;
    if (!isServing)
        refuseAll(relay_status::notServed);
}

void change_relay::refuseAll(int status)
{
    auto waiting = std::exchange(m_waiting, {});
    for (auto &[number, host] : waiting)
        host.exchange->respond(statusOnly(status));
}

} // namespace mustardcourse::store
