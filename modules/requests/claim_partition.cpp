#include <mustardcourse/requests/claim_partition.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace mustardcourse::requests {

namespace {

using nlohmann::json;

constexpr std::size_t recordFields = 5;

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
        if (!fields.is_array() || fields.size() != recordFields)
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
    // A swap under way may still write the record; the release removes it again.
    if (m_inFlight || !m_isKnown)
        release(found->second.request, owner);
    m_attempts.erase(found);
}

void claim_partition::finish(const request_id &request, const std::string &owner, claim_state state,
                             const std::string &result)
{
    m_changes.push_back(
        {request, owner, false, state, result.substr(0, m_limits.maximumResultBytes)});
}

void claim_partition::release(const request_id &request, const std::string &owner)
{
    m_changes.push_back({request, owner, true, claim_state::Done, ""});
}

bool claim_partition::needsRead() const noexcept
{
    return !m_isKnown && !m_inFlight;
}

bool claim_partition::hasWork() const noexcept
{
    return !m_inFlight && (!m_attempts.empty() || !m_changes.empty());
}

void claim_partition::dropOld(claim_table &table, std::chrono::seconds now) const
{
    std::erase_if(table.records, [&](const auto &entry) {
        return now - entry.second.claimedAt > m_limits.retention;
    });
}

void claim_partition::applyChanges(claim_table &table) const
{
    for (const change &item : m_changes) {
        const auto found = table.records.find(item.request);
        const bool isOwn = found != table.records.end() && found->second.owner == item.owner;
        if (!isOwn)
            continue;
        if (item.isRelease) {
            table.records.erase(found);
            continue;
        }
        found->second.state = item.state;
        found->second.result = item.result;
    }
}

std::optional<claim_write> claim_partition::nextWrite(std::chrono::seconds now)
{
    if (!hasWork() || !m_isKnown)
        return std::nullopt;

    claim_table table = m_table;
    dropOld(table, now);
    applyChanges(table);
    for (auto item = m_attempts.begin(); item != m_attempts.end();) {
        const auto &[owner, wanted] = *item;
        const auto found = table.records.find(wanted.request);
        if (found != table.records.end()) {
            decide(owner, claim_outcome::AlreadyClaimed, found->second);
            item = m_attempts.erase(item);
            continue;
        }
        if (table.records.size() >= m_limits.maximumRecords) {
            decide(owner, claim_outcome::Full, {});
            item = m_attempts.erase(item);
            continue;
        }
        table.records.emplace(
            wanted.request, claim_record{claim_state::Claimed, owner, wanted.contentHash, now, ""});
        ++item;
    }
    if (m_attempts.empty() && m_changes.empty())
        return std::nullopt;
    claim_write write{m_revision, table.toText()};
    m_inFlight = pending_write{std::move(table)};
    return write;
}

void claim_partition::onWritten(revision written)
{
    assert(m_inFlight);
    m_table = std::move(m_inFlight->table);
    m_inFlight.reset();
    m_revision = written;
    m_isKnown = true;
    decideAgainst(m_table);
    dropSettledChanges();
}

void claim_partition::onWriteConflict(revision current, const std::string &value)
{
    m_inFlight.reset();
    adopt(current, value);
}

void claim_partition::onWriteOutcomeUnknown()
{
    m_inFlight.reset();
    m_isKnown = false;
}

void claim_partition::onWriteNotSent()
{
    m_inFlight.reset();
}

void claim_partition::onValueRead(revision current, const std::string &value)
{
    adopt(current, value);
}

void claim_partition::adopt(revision current, const std::string &value)
{
    std::optional<claim_table> table = claim_table::parse(value);
    // An unreadable value is left alone: attempts wait and end as unavailable.
    m_isKnown = table.has_value();
    if (!table)
        return;
    m_revision = current;
    m_table = std::move(*table);
    decideAgainst(m_table);
    dropSettledChanges();
}

void claim_partition::decideAgainst(const claim_table &table)
{
    for (auto item = m_attempts.begin(); item != m_attempts.end();) {
        const auto &[owner, wanted] = *item;
        const auto found = table.records.find(wanted.request);
        if (found == table.records.end()) {
            ++item;
            continue;
        }
        const bool isOwn = found->second.owner == owner;
        decide(owner, isOwn ? claim_outcome::Granted : claim_outcome::AlreadyClaimed,
               found->second);
        item = m_attempts.erase(item);
    }
}

void claim_partition::dropSettledChanges()
{
    std::erase_if(m_changes, [&](const change &item) {
        const auto found = m_table.records.find(item.request);
        const bool isOwn = found != m_table.records.end() && found->second.owner == item.owner;
        if (!isOwn)
            return true;
        return !item.isRelease && found->second.state == item.state;
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
