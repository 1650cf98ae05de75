#pragma once

#include <cstddef>

struct lws;

namespace mustardcourse::wire {

/**
    Tracks the libuv watchers that libwebsockets has allocated, to work around a memory leak.

    When the library reuses a client connection for another request, it allocates a new watcher and
    never frees the old one, which leaks 160 bytes per request. The tracker hooks into the library's
    allocator to find the watchers, so that their owner can close those that were leaked. It does
    not touch watchers that the library frees itself.

    The state is global, since the library has one allocator per process.
*/
class watcher_tracker
{
public:
    /** Installs the allocator hook. Call it before any context is created. */
    static void install();

    /** Returns the most recently allocated watcher and resets it; null if there is none. */
    static void *takeLatest();

    /**
        Schedules a watcher to be closed and freed when its wsi is destroyed, unless the library
        frees it itself. Until then the library may still use it.
    */
    static void closeAfter(lws *wsi, void *watcher);

    /** Must be called when a wsi is destroyed. */
    static void onDestroyed(lws *wsi);

    /** Returns the number of allocated watchers. */
    static std::size_t allocatedCount();
};

} // namespace mustardcourse::wire
