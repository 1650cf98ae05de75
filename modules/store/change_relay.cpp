#include <mustardcourse/store/change_relay.h>

#include <fmt/format.h>

#include <charconv>

namespace mustardcourse::store {

namespace {

constexpr std::string_view revisionPrefix = "/changes?after=";
constexpr std::string_view eraPrefix = "&era=";

/** Reads a prefix and the number behind it, and removes both from the text. */
std::optional<std::uint64_t> readNumber(std::string_view &text, std::string_view prefix)
{
    if (!text.starts_with(prefix))
        return std::nullopt;
    text.remove_prefix(prefix.size());
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc{})
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    return number;
}

std::optional<store_position> parsePosition(std::string_view target)
{
    const auto number = readNumber(target, revisionPrefix);
    const auto era = readNumber(target, eraPrefix);
    if (!number || !era || !target.empty())
        return std::nullopt;
    return store_position(store_era(*era), revision(*number));
}

http::reply emptyReply(int status)
{
    http::reply reply;
    reply.status = status;
    return reply;
}

} // namespace

std::string relayTarget(const store_position &since)
{
    return fmt::format("{}{}{}{}", revisionPrefix, since.number().value(), eraPrefix,
                       since.era().value());
}

change_relay::change_relay(const clock &clock, const relay_limits &limits)
    : m_clock(clock)
    , m_linkBudget(limits.linkRate.bytesPerSecond() * limits.linkShare,
                   limits.linkRate.bytesPerSecond()
                       * std::chrono::duration<double>(limits.burstTime).count(),
                   clock.now())
{ }

void change_relay::serve(std::unique_ptr<http::caller_exchange> exchange)
{
    const auto since = parsePosition(exchange->receivedRequest().target);
    if (!since)
        return exchange->respond(emptyReply(relay_status::badRequest));
    if (!m_isServing)
        return exchange->respond(emptyReply(relay_status::changesUnavailable));
    if (m_isStoreUnreachable)
        return exchange->respond(emptyReply(relay_status::storeUnreachable));
    const auto changes = m_changeLog.changesSince(*since);
    if (!changes || !changes->items.empty())
        return sendChanges({*since, std::move(exchange)});
    const std::uint64_t number = ++m_lastRequestNumber;
    exchange->onDisconnect([this, number] { cancel(number); });
    m_pendingRequests.emplace(number, pending_request{*since, std::move(exchange)});
}

void change_relay::cancel(std::uint64_t number)
{
    m_pendingRequests.erase(number);
}

void change_relay::sendChanges(pending_request &&request)
{
    const auto changes = m_changeLog.changesSince(request.since);
    if (!changes)
        return request.exchange->respond(emptyReply(relay_status::changesUnavailable));
    if (!m_linkBudget.trySpend(static_cast<double>(payloadSize(*changes)), m_clock.now())) {
        ++m_overLimitCount;
        return request.exchange->respond(emptyReply(relay_status::overLimit));
    }
    http::reply reply;
    reply.status = relay_status::changes;
    reply.headers.push_back({"Content-Type", "application/octet-stream"});
    reply.body = encodeBatch(*changes);
    m_sentBytes += reply.body.size();
    request.exchange->respond(reply);
}

void change_relay::onWatchResult(const store_position &since, const store_batch &changes)
{
    // A store that has compacted its history is reachable; only these changes are unavailable.
    const bool isHistoryCompacted = changes.failure == store_failure::HistoryCompacted;
    m_isStoreUnreachable = changes.failure != store_failure::None && !isHistoryCompacted;
    if (m_isStoreUnreachable)
        return rejectAll(relay_status::storeUnreachable);
    if (isHistoryCompacted)
        return rejectAll(relay_status::changesUnavailable);
    m_changeLog.append(since, changes);
    auto requests = std::exchange(m_pendingRequests, {});
    for (auto &[number, request] : requests)
        sendChanges(std::move(request));
}

void change_relay::onNewEra()
{
    rejectAll(relay_status::changesUnavailable);
}

void change_relay::setServing(bool isServing)
{
    m_isServing = isServing;
    if (!isServing)
        rejectAll(relay_status::changesUnavailable);
}

void change_relay::rejectAll(int status)
{
    auto requests = std::exchange(m_pendingRequests, {});
    for (auto &[number, request] : requests)
        request.exchange->respond(emptyReply(status));
}

} // namespace mustardcourse::store
