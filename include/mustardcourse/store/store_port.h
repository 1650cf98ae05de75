#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/ids.h>
#include <mustardcourse/store/store_position.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace mustardcourse::store {

/** Why a call to the store has no result. */
enum class store_failure {
    None,
    /** The store rejected the call without effect; it may be repeated. */
    Refused,
    /** The key or lease does not exist. */
    NotFound,
    /** The store no longer holds all changes since the requested revision. */
    HistoryCompacted,
    /** A precondition of the write does not hold. */
    Conflict,
    /** No response arrived; a write may have been applied or may still be applied. */
    Unanswered,
    /** The response cannot be decoded. */
    Malformed,
    /** The response is larger than the client accepts. */
    Oversized,
    /** The response was sent before the store was restored from an older copy. */
    Outdated,
};

/** Returns the lower-case name of a failure for log lines. */
std::string_view nameOf(store_failure failure);

/** The value of a key at a revision, or its deletion. */
struct store_item
{
    std::string key;
    std::string value;
    store_position modified;
    bool isDeleted = false;
};

/** A page of keys or a batch of changes. */
struct store_batch
{
    store_failure failure = store_failure::None;
    std::vector<store_item> items;
    /** The batch reflects the store up to this position. */
    store_position current;
    bool hasMorePages = false;
};

/** Returns the total size of the keys and values of a batch, in bytes. */
std::size_t payloadSize(const store_batch &batch);

/** Returns the indices of the items that no later one of the same key replaces, in their order. */
std::vector<std::size_t> newestItems(const std::vector<store_item> &items);

/** A lease. It ends with the era of the store in which it was granted, as its id can be granted
    again in the next one. */
struct lease_id
{
    store_era era;
    std::string id;
};

/** Result of a request for a lease. */
struct lease_grant
{
    store_failure failure = store_failure::None;
    lease_id lease;
    duration lifetime{0};
};

/** A value to write; it is removed with its lease if it has one. */
struct store_write
{
    std::string key;
    std::string value;
    std::optional<lease_id> lease = std::nullopt;
};

/** A key and where its present value was written. */
struct key_version
{
    std::string key;
    store_position modified;
};

/** Changes that are all made, or none of them. */
struct store_transaction
{
    /** Keys that must not exist; otherwise the transaction fails with store_failure::Conflict. */
    std::vector<std::string> absentKeys = {};
    /** Keys that must not have changed since; otherwise it fails in the same way. */
    std::vector<key_version> unchangedKeys = {};
    std::vector<store_write> writes = {};
    std::vector<std::string> removedKeys = {};
};

using items_handler = std::function<void(std::vector<store_item> &&)>;
using batch_handler = std::function<void(store_batch &&)>;
using lease_handler = std::function<void(lease_grant &&)>;
using completion_handler = std::function<void(store_failure)>;

} // namespace mustardcourse::store
