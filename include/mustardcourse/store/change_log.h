#pragma once

#include <mustardcourse/store/store_port.h>

#include <deque>
#include <optional>

namespace mustardcourse::store {

/**
    A contiguous log of the latest changes of the store, for hosts that receive them through this
    one.

    The number of changes and their total size are bounded. Performs no I/O.
*/
class change_log
{
public:
    /** Appends the changes after a revision. If there is a gap to the logged changes, those are
        discarded. */
    void append(revision since, const store_batch &changes);

    /** Returns the changes after a revision, or nothing if the log does not hold all of them. */
    [[nodiscard]] std::optional<store_batch> changesSince(revision since) const;

private:
    void dropOldest();

    /** The log holds every change after this revision, up to and including m_current. */
    revision m_begin;
    revision m_current;
    bool m_isUninitialised = true;
    std::deque<store_item> m_items;
    std::size_t m_bytes = 0;
};

/** Encodes a batch for transfer to another host. */
std::string encodeBatch(const store_batch &batch);

/** Decodes the output of encodeBatch(). Other input gives a batch with the failure Malformed. */
store_batch decodeBatch(const std::string &bytes);

} // namespace mustardcourse::store
