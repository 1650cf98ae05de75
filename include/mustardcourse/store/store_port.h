#pragma once

#include <mustardcourse/core/clock.h>
#include <mustardcourse/core/ids.h>

#include <functional>
#include <string>
#include <vector>

namespace mustardcourse::store {

/** Why a call to the store has no result. */
enum class store_failure {
    None,
    /** The store did nothing and may be asked again. */
    Refused,
    /** The key or lease does not exist. */
    NotFound,
    /** The changes since that revision are no longer kept. */
    HistoryCompacted,
    /** A condition does not hold. */
    Conflict,
    /** No answer came; a change may have been made or may still be made. */
    Unanswered,
    /** The answer cannot be read. */
    Malformed,
};

/** Returns the lower-case name of a failure, as it stands in a log line. */
std::string_view nameOf(store_failure failure);

/** One key of the store, or the news that it was deleted. */
struct store_item
{
    std::string key;
    std::string value;
    revision modRevision;
    bool isDeleted = false;
};

/** A page of keys or a batch of changes. */
struct store_batch
{
    store_failure failure = store_failure::None;
    std::vector<store_item> items;
    /** Revision of the store up to which the batch tells. */
    revision currentRevision;
    bool hasMorePages = false;
};

/** A granted lease. */
struct lease_grant
{
    store_failure failure = store_failure::None;
    std::string lease;
    duration lifetime{0};
};

using batch_handler = std::function<void(store_batch &&)>;
using lease_handler = std::function<void(lease_grant &&)>;
using completion_handler = std::function<void(store_failure)>;

} // namespace mustardcourse::store
