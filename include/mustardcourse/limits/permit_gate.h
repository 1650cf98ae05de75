#pragma once

#include <mustardcourse/core/ids.h>

#include <cstddef>
#include <string_view>

namespace mustardcourse::limits {

/** How far a target has warmed up, judged by its concurrency limit. */
enum class warmup_state { Cold, Warming, Warm };

/** Returns the lower-case name of a state. */
std::string_view nameOf(warmup_state state);

/** Settings of a permit gate. */
struct permit_settings
{
    /** Concurrency limit of a warm target. */
    std::size_t slots = 1;
    /** Concurrency limit of a cold target. */
    std::size_t coldPermits = 1;
    /** Number of successes, with no failure between them, that raise the limit by one. */
    std::size_t successesPerStep = 4;
};

/**
    Limits the number of concurrent requests to one target.

    A target starts cold with few permits. Every permit_settings::successesPerStep successes raise
    the limit by one, up to the number of slots. An overload refusal, a failure to reach the target,
    or a new incarnation in a response resets it to cold, whatever its health endpoint reports.

    The class does no I/O and does not depend on time. Only the home of a target holds a gate for
    it.
*/
class permit_gate
{
public:
    explicit permit_gate(permit_settings settings);

    /** Acquires a permit if one is free. @returns whether it was acquired */
    bool tryAcquire();

    /** Releases a permit after a successful request. */
    void releaseAfterSuccess();

    /** Releases a permit after the target refused the request or could not be reached. */
    void releaseAfterFailure();

    /** Releases a permit after an inconclusive request, such as a cancelled one. */
    void release();

    /** Records the incarnation from a response; a newer one shows that the target restarted. */
    void observeIncarnation(incarnation responseIncarnation);

    [[nodiscard]] std::size_t limit() const noexcept { return m_limit; }
    [[nodiscard]] std::size_t inUse() const noexcept { return m_inUse; }
    [[nodiscard]] warmup_state state() const noexcept;

private:
    void resetToCold();

    permit_settings m_settings;
    std::size_t m_limit;
    std::size_t m_inUse = 0;
    std::size_t m_successCount = 0;
    incarnation m_incarnation;
};

} // namespace mustardcourse::limits
