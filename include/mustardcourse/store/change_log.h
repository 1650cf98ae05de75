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
    /** Appends the changes after a position. If there is a gap to the logged changes, or the store
        has begun another era, those are discarded. */
    void append(const store_position &since, const store_batch &changes);

    /** Returns the changes after a position, or nothing if the log does not hold all of them or is
        of another era. */
    [[nodiscard]] std::optional<store_batch> changesSince(const store_position &since) const;

private:
    void restartAt(const store_position &begin);
    void dropOldest();

    /** The log holds every change after this position, up to and including m_current. */
    store_position m_begin;
    store_position m_current;
    bool m_isUninitialised = true;
    std::deque<store_item> m_items;
    std::size_t m_bytes = 0;
};

/** Returns the total size of the keys and values of a batch, in bytes. */
std::size_t payloadSize(const store_batch &batch);

/** Encodes a batch for transfer to another host. */
std::string encodeBatch(const store_batch &batch);

/** Decodes the output of encodeBatch(). Other input gives a batch with the failure Malformed. */
store_batch decodeBatch(const std::string &bytes);

} // namespace mustardcourse::store
