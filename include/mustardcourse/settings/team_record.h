#pragma once

#include <mustardcourse/core/ids.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace mustardcourse::settings {

/** One line of a team's audit trail. */
struct audit_entry
{
    revision settingsRevision;
    /** Identifies the change, to recognise a request that is sent again. */
    std::string change;
    std::string author;
    std::chrono::seconds at{};
    std::string comment;
};

/**
    The value stored for one team: the text of its settings subtree and the audit trail.

    One compare-and-swap writes both, so that they stay consistent.
*/
struct team_record
{
    /** Audit entries to keep; older ones are dropped. */
    static constexpr std::size_t maximumAuditEntries = 100;

    team_id team;
    revision settingsRevision;
    std::string text;
    /** In chronological order. */
    std::vector<audit_entry> audit;

    /** Parses the stored JSON. Returns nullopt if it is not a team record. */
    static std::optional<team_record> parse(const std::string &stored);

    /** Returns the JSON to store. */
    [[nodiscard]] std::string toText() const;

    /** Returns the audit entry of a change, or null if there is none. */
    [[nodiscard]] const audit_entry *findChange(const std::string &change) const;

    /** Returns the next revision of the record, with a new text and one more audit entry. */
    [[nodiscard]] team_record after(audit_entry entry, std::string newText) const;
};

} // namespace mustardcourse::settings
