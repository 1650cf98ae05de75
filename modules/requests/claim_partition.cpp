#include <mustardcourse/requests/claim_partition.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace mustardcourse::requests {

namespace {

using nlohmann::json;

constexpr std::size_t recordFieldCount = 5;

} // namespace

std::optional<claim_table> claim_table::parse(const std::string &text)
{
    claim_table table;
    if (text.empty())
        return table;
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    for (const auto &[id, fields] : body.items()) {
        if (!fields.is_array() || fields.size() != recordFieldCount)
            return std::nullopt;
        claim_record record;
        record.state = static_cast<claim_state>(fields[0].get<int>());
        record.owner = fields[1].get<std::string>();
        record.contentHash = fields[2].get<std::uint64_t>();
        record.claimedAt = std::chrono::seconds(fields[3].get<std::int64_t>());
        record.result = fields[4].get<std::string>();
        table.records.emplace(request_id(id), std::move(record));
    }
    return table;
}

std::string claim_table::toText() const
{
    json body = json::object();
    for (const auto &[id, record] : records) {
        body[id.value()] =
            json::array({static_cast<int>(record.state), record.owner, record.contentHash,
                         record.claimedAt.count(), record.result});
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

claim_partition::claim_partition(claim_limits limits)
    : m_limits(limits)
{ }

void claim_partition::submit(const request_id &request, const std::string &owner,
                             std::uint64_t contentHash)
{
    assert(!m_attempts.contains(owner));
    m_attempts.emplace(owner, attempt{request, contentHash});
}

void claim_partition::withdraw(const std::string &owner)
{
    const auto found = m_attempts.find(owner);
    if (found == m_attempts.end())
        return;
    // The record may be stored by a write in flight or one whose outcome is unknown, so it is
    // released.
    if (m_writeInFlight || !m_isTableCurrent)
        release(found->second.request, owner);
    m_attempts.erase(found);
}

void claim_partition::finish(const request_id &request, const std::string &owner, claim_state state,
                             const std::string &result)
{
    m_pendingChanges.push_back(
        {request, owner, false, state, result.substr(0, m_limits.maximumResultBytes)});
}

void claim_partition::release(const request_id &request, const std::string &owner)
{
    m_pendingChanges.push_back({request, owner, true, claim_state::Done, ""});
}

bool claim_partition::needsRead() const noexcept
{
    return !m_isTableCurrent && !m_writeInFlight;
}

bool claim_partition::hasWork() const noexcept
{
    return !m_writeInFlight && (!m_attempts.empty() || !m_pendingChanges.empty());
}

void claim_partition::removeExpired(claim_table &table, std::chrono::seconds now) const
{
    std::erase_if(table.records, [&](const auto &entry) {
        return now - entry.second.claimedAt > m_limits.retention;
    });
}

void claim_partition::applyChanges(claim_table &table) const
{
    for (const change &pendingChange : m_pendingChanges) {
        const auto found = table.records.find(pendingChange.request);
        const bool isOwner =
            found != table.records.end() && found->second.owner == pendingChange.owner;
        if (!isOwner)
            continue;
        if (pendingChange.isRelease) {
            table.records.erase(found);
            continue;
        }
        found->second.state = pendingChange.state;
        found->second.result = pendingChange.result;
    }
}

std::optional<claim_write> claim_partition::nextWrite(std::chrono::seconds now)
{
    if (!hasWork() || !m_isTableCurrent)
        return std::nullopt;

    claim_table table = m_table;
    removeExpired(table, now);
    applyChanges(table);
    for (auto position = m_attempts.begin(); position != m_attempts.end();) {
        const auto &[owner, pendingAttempt] = *position;
        const auto found = table.records.find(pendingAttempt.request);
        if (found != table.records.end()) {
            decide(owner, claim_outcome::AlreadyClaimed, found->second);
            position = m_attempts.erase(position);
            continue;
        }
        if (table.records.size() >= m_limits.maximumRecords) {
            decide(owner, claim_outcome::Full, {});
            position = m_attempts.erase(position);
            continue;
        }
        table.records.emplace(
            pendingAttempt.request,
            claim_record{claim_state::Claimed, owner, pendingAttempt.contentHash, now, ""});
        ++position;
    }
    if (m_attempts.empty() && m_pendingChanges.empty())
        return std::nullopt;
    claim_write write{m_revision, table.toText()};
    m_writeInFlight = pending_write{std::move(table)};
    return write;
}

void claim_partition::onWritten(revision newRevision)
{
    assert(m_writeInFlight);
    m_table = std::move(m_writeInFlight->table);
    m_writeInFlight.reset();
    m_revision = newRevision;
    m_isTableCurrent = true;
    decideRecordedAttempts(m_table);
    removeSettledChanges();
}

void claim_partition::onWriteConflict(revision storedRevision, const std::string &value)
{
    m_writeInFlight.reset();
    replaceTable(storedRevision, value);
}

void claim_partition::onWriteOutcomeUnknown()
{
    m_writeInFlight.reset();
    m_isTableCurrent = false;
}

void claim_partition::onWriteNotSent()
{
    m_writeInFlight.reset();
}

void claim_partition::onValueRead(revision storedRevision, const std::string &value)
{
    replaceTable(storedRevision, value);
}

void claim_partition::replaceTable(revision storedRevision, const std::string &value)
{
    std::optional<claim_table> table = claim_table::parse(value);
    // An unreadable value is not overwritten: attempts wait until they end as unavailable.
    m_isTableCurrent = table.has_value();
    if (!table)
        return;
    m_revision = storedRevision;
    m_table = std::move(*table);
    decideRecordedAttempts(m_table);
    removeSettledChanges();
}

void claim_partition::decideRecordedAttempts(const claim_table &table)
{
    for (auto position = m_attempts.begin(); position != m_attempts.end();) {
        const auto &[owner, pendingAttempt] = *position;
        const auto found = table.records.find(pendingAttempt.request);
        if (found == table.records.end()) {
            ++position;
            continue;
        }
        const bool isOwner = found->second.owner == owner;
        decide(owner, isOwner ? claim_outcome::Granted : claim_outcome::AlreadyClaimed,
               found->second);
        position = m_attempts.erase(position);
    }
}

void claim_partition::removeSettledChanges()
{
    std::erase_if(m_pendingChanges, [&](const change &pendingChange) {
        const auto found = m_table.records.find(pendingChange.request);
        const bool isOwner =
            found != m_table.records.end() && found->second.owner == pendingChange.owner;
        if (!isOwner)
            return true;
        return !pendingChange.isRelease && found->second.state == pendingChange.state;
    });
}

void claim_partition::decide(const std::string &owner, claim_outcome outcome,
                             const claim_record &record)
{
    m_decisions.push_back({owner, outcome, record});
}

std::vector<claim_decision> claim_partition::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

} // namespace mustardcourse::requests
