#include <mustardcourse/settings/team_record.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardcourse::settings {

namespace {

using nlohmann::json;

audit_entry parseEntry(const json &fields)
{
    audit_entry entry;
    entry.settingsRevision = revision(fields.value("revision", std::uint64_t{0}));
    entry.change = fields.value("change", "");
    entry.author = fields.value("author", "");
    entry.at = std::chrono::seconds(fields.value("at", std::int64_t{0}));
    entry.comment = fields.value("comment", "");
    return entry;
}

json toJson(const audit_entry &entry)
{
    return {{"revision", entry.settingsRevision.value()},
            {"change", entry.change},
            {"author", entry.author},
            {"at", entry.at.count()},
            {"comment", entry.comment}};
}

} // namespace

std::optional<team_record> team_record::parse(const std::string &stored)
{
    const json body = json::parse(stored, nullptr, false);
    if (!body.is_object() || !body.contains("team") || !body.contains("text"))
        return std::nullopt;
    team_record record;
    record.team = team_id(body.value("team", ""));
    record.settingsRevision = revision(body.value("revision", std::uint64_t{0}));
    record.text = body.value("text", "");
    for (const json &fields : body.value("audit", json::array()))
        record.audit.push_back(parseEntry(fields));
    return record;
}

std::string team_record::toText() const
{
    json entries = json::array();
    for (const audit_entry &entry : audit)
        entries.push_back(toJson(entry));
    const json body{{"team", team.value()},
                    {"revision", settingsRevision.value()},
                    {"text", text},
                    {"audit", std::move(entries)}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

const audit_entry *team_record::findChange(const std::string &change) const
{
    const auto found = std::find_if(audit.begin(), audit.end(),
                                    [&](const auto &entry) { return entry.change == change; });
    return found == audit.end() ? nullptr : &*found;
}

team_record team_record::after(audit_entry entry, std::string newText) const
{
    team_record next = *this;
    next.settingsRevision = revision(settingsRevision.value() + 1);
    next.text = std::move(newText);
    entry.settingsRevision = next.settingsRevision;
    next.audit.push_back(std::move(entry));
    if (next.audit.size() > maximumAuditEntries)
        next.audit.erase(next.audit.begin());
    return next;
}

} // namespace mustardcourse::settings
