#include <mustardcourse/store/change_log.h>

#include <change_batch.capnp.h>

#include "../core/flat_message.h"

#include <kj/exception.h>

#include <algorithm>

namespace mustardcourse::store {

namespace {

/** Covers what a fleet of some hundred targets and hosts writes within seconds. */
constexpr std::size_t maximumItems = 512;
/** Keeps a burst of large configurations from exhausting the memory of a small host. */
constexpr std::size_t maximumBytes = std::size_t{2} * 1024 * 1024;

std::size_t payloadSize(const store_item &item)
{
    return item.key.size() + item.value.size();
}

} // namespace

void change_log::append(const store_position &since, const store_batch &changes)
{
    const bool isContiguous =
        !m_isUninitialised && since.isSameEra(m_current) && !m_current.isBefore(since);
    if (!isContiguous)
        restartAt(since);
    // The store's revision decreases only if it was restored.
    const bool isOfOtherHistory =
        !changes.current.isSameEra(m_current) || changes.current.isBefore(m_current);
    if (isOfOtherHistory)
        return restartAt(changes.current);
    for (const store_item &item : changes.items) {
        if (!m_current.isBefore(item.modified))
            continue;
        dropChangeOf(item.key);
        m_itemsByKey[item.key] = m_items.insert(m_items.end(), item);
        m_bytes += payloadSize(item);
    }
    if (m_current.isBefore(changes.current))
        m_current = changes.current;
    while (m_items.size() > maximumItems || m_bytes > maximumBytes)
        dropOldest();
}

void change_log::restartAt(const store_position &begin)
{
    m_items.clear();
    m_itemsByKey.clear();
    m_bytes = 0;
    m_begin = begin;
    m_current = begin;
    m_isUninitialised = false;
}

void change_log::dropOldest()
{
    m_begin = m_items.front().modified;
    dropChangeOf(std::string(m_items.front().key));
}

void change_log::dropChangeOf(const std::string &key)
{
    const auto found = m_itemsByKey.find(key);
    if (found == m_itemsByKey.end())
        return;
    m_bytes -= payloadSize(*found->second);
    m_items.erase(found->second);
    m_itemsByKey.erase(found);
}

std::optional<store_batch> change_log::changesSince(const store_position &since) const
{
    if (m_isUninitialised || !since.isSameEra(m_current) || since.isBefore(m_begin))
        return std::nullopt;
    store_batch batch;
    batch.current = m_current.isBefore(since) ? since : m_current;
    const auto first = std::find_if(m_items.begin(), m_items.end(), [&](const store_item &item) {
        return since.isBefore(item.modified);
    });
    batch.items.assign(first, m_items.end());
    return batch;
}

std::string encodeBatch(const store_batch &batch)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<rpc::ChangeBatch>();
    root.setCurrent(batch.current.number().value());
    root.setEra(batch.current.era().value());
    auto items = root.initItems(static_cast<unsigned>(batch.items.size()));
    for (unsigned i = 0; i < items.size(); ++i) {
        const store_item &item = batch.items[i];
        auto encodedItem = items[i];
        encodedItem.setKey(item.key);
        encodedItem.setValue(
            kj::arrayPtr(reinterpret_cast<const kj::byte *>(item.value.data()), item.value.size()));
        encodedItem.setChanged(item.modified.number().value());
        encodedItem.setIsDeleted(item.isDeleted);
    }
    return flatBytesOf(message);
}

store_batch decodeBatch(const std::string &bytes)
{
    store_batch batch;
    const auto words = alignedWordsOf(bytes);
    try {
        capnp::FlatArrayMessageReader message(words);
        const auto root = message.getRoot<rpc::ChangeBatch>();
        const store_era era(root.getEra());
        batch.current = store_position(era, revision(root.getCurrent()));
        for (const auto item : root.getItems()) {
            const auto value = item.getValue();
            batch.items.push_back({item.getKey().cStr(),
                                   {reinterpret_cast<const char *>(value.begin()), value.size()},
                                   store_position(era, revision(item.getChanged())),
                                   item.getIsDeleted()});
        }
    } catch (const kj::Exception &) {
        batch = {};
        batch.failure = store_failure::Malformed;
    }
    return batch;
}

} // namespace mustardcourse::store
