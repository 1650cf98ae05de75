#pragma once

#include <mustardcourse/store/store_port.h>

#include <list>
#include <map>
#include <optional>

namespace mustardcourse::store {

/**
    A log of the latest changes of the store, for hosts that receive them through this one. It holds
    the newest change of each key, without those that it replaces.

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
    void dropChangeOf(const std::string &key);

    /** The log holds the newest change of every key that changed after this position, up to and
        including m_current. */
    store_position m_begin;
    store_position m_current;
    bool m_isUninitialised = true;
    std::list<store_item> m_items;
    std::map<std::string, std::list<store_item>::iterator> m_itemsByKey;
    std::size_t m_bytes = 0;
};

/** Encodes a batch for transfer to another host. */
std::string encodeBatch(const store_batch &batch);

/** Decodes the output of encodeBatch(). Other input gives a batch with the failure Malformed. */
store_batch decodeBatch(const std::string &bytes);

} // namespace mustardcourse::store
