#include "watcher_tracker.h"

#include <libwebsockets.h>
#include <uv.h>

#include <cstdlib>
#include <cstring>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace mustardcourse::wire {

namespace {

/** Reason that libwebsockets passes to the allocator when it allocates a watcher. */
constexpr const char *watcherAllocationReason = "uvh";

struct tracked_watchers
{
    std::unordered_set<void *> liveWatchers;
    void *latestWatcher = nullptr;
    std::unordered_map<lws *, void *> watchersToClose;
};

tracked_watchers &trackedWatchers()
{
    // Never destroyed, since libwebsockets may free memory after main() returns.
    static auto *const watchers = new tracked_watchers;
    return *watchers;
}

void untrack(void *watcher)
{
    trackedWatchers().liveWatchers.erase(watcher);
    if (trackedWatchers().latestWatcher == watcher)
        trackedWatchers().latestWatcher = nullptr;
}

void *reallocate(void *memory, std::size_t size, const char *reason)
{
    if (size == 0) {
        untrack(memory);
        std::free(memory);
        return nullptr;
    }
    void *const allocated = std::realloc(memory, size);
    const bool isWatcher =
        memory == nullptr && reason != nullptr && std::strcmp(reason, watcherAllocationReason) == 0;
    if (isWatcher && allocated != nullptr) {
        trackedWatchers().liveWatchers.insert(allocated);
        trackedWatchers().latestWatcher = allocated;
    }
    return allocated;
}

} // namespace

void watcher_tracker::install()
{
    lws_set_allocator(&reallocate);
}

void *watcher_tracker::takeLatest()
{
    return std::exchange(trackedWatchers().latestWatcher, nullptr);
}

void watcher_tracker::closeAfter(lws *wsi, void *watcher)
{
    if (watcher != nullptr)
        trackedWatchers().watchersToClose.insert_or_assign(wsi, watcher);
}

void watcher_tracker::onDestroyed(lws *wsi)
{
    const auto entry = trackedWatchers().watchersToClose.find(wsi);
    if (entry == trackedWatchers().watchersToClose.end())
        return;
    void *const watcher = entry->second;
    trackedWatchers().watchersToClose.erase(entry);
    auto *const handle = static_cast<uv_handle_t *>(watcher);
    if (!trackedWatchers().liveWatchers.contains(watcher) || uv_is_closing(handle))
        return;
    uv_close(handle, [](uv_handle_t *closed) { reallocate(closed, 0, nullptr); });
}

std::size_t watcher_tracker::allocatedCount()
{
    return trackedWatchers().liveWatchers.size();
}

} // namespace mustardcourse::wire
