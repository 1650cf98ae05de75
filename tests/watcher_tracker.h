#pragma once

#include <libwebsockets.h>

#include <cstddef>
#include <cstdlib>
#include <cstring>
#include <unordered_set>

namespace mustardcourse::tests {

/**
    Counts the libuv watchers that libwebsockets has allocated.

    It hooks into the library's allocator, of which there is one per process.
*/
class watcher_tracker
{
public:
    /** Installs the allocator hook. Call it before any context is created. */
    static void install() { lws_set_allocator(&reallocate); }

    /** Returns the number of allocated watchers. */
    static std::size_t allocatedCount() { return liveWatchers().size(); }

private:
    static std::unordered_set<void *> &liveWatchers()
    {
        // Never destroyed, since libwebsockets may free memory after main() returns.
        static auto *const watchers = new std::unordered_set<void *>;
        return *watchers;
    }

    static void *reallocate(void *memory, std::size_t size, const char *reason)
    {
        // Reason that the library gives when it allocates a watcher.
        constexpr const char *watcherAllocation = "uvh";
        if (size == 0) {
            liveWatchers().erase(memory);
            std::free(memory);
            return nullptr;
        }
        void *const allocated = std::realloc(memory, size);
        const bool isWatcher =
            memory == nullptr && reason != nullptr && std::strcmp(reason, watcherAllocation) == 0;
        if (isWatcher && allocated != nullptr)
            liveWatchers().insert(allocated);
        return allocated;
    }
};

} // namespace mustardcourse::tests
