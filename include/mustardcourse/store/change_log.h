#pragma once

#include <mustardcourse/store/store_port.h>

#include <deque>
#include <optional>

namespace mustardcourse::store {

/**
    The latest changes of the store without a gap, for hosts that follow them through this one.

    It keeps a bounded number of changes and of bytes and does no I/O.
*/
class change_log
{
public:
    /** Takes the changes behind a revision. A gap to what is kept drops the older ones. */
    void append(revision since, const store_batch &changes);

    /** Returns the changes behind a revision, or nothing if they are not all kept. */
    [[nodiscard]] std::optional<store_batch> changesSince(revision since) const;

private:
    void dropOldest();

    /** Every change behind this revision up to m_current is kept. */
    revision m_begin;
    revision m_current;
    bool m_isEmpty = true;
    std::deque<store_item> m_items;
    std::size_t m_bytes = 0;
};

/** Encodes a batch for another host. */
std::string encodeBatch(const store_batch &batch);

/** Reads what encodeBatch() made. Anything else gives a batch that failed as malformed. */
store_batch decodeBatch(const std::string &bytes);

} // namespace mustardcourse::store
