#pragma once

#include <mustardcourse/core/ids.h>

#include <cstddef>
#include <string_view>

namespace mustardcourse::limits {

/** How much load a target is believed to bear. */
enum class warmup_state { Cold, Warming, Warm };

/** Returns the lower-case name of a warmth. */
std::string_view nameOf(warmup_state state);

/** Settings of a permit gate. */
struct permit_settings
{
    /** Permits of a warm target. */
    std::size_t slots = 1;
    /** Permits of a target that has just started. */
    std::size_t coldPermits = 1;
    /** Successes in a row at the present limit before it grows by one. */
    std::size_t successesPerStep = 4;
};

/**
    Limits the requests that run at one target at the same time.

    A target starts cold with few permits. Each run of successes adds one permit, until there is
    one for each slot. A refusal for overload, a failure to reach the target, or a new incarnation
    seen in a response takes it back to cold, whatever its health endpoint says.

    It does no I/O and knows no time. Its home alone keeps one for each of its targets.
*/
class permit_gate
{
public:
    explicit permit_gate(permit_settings settings);

    /** Takes a permit if one is free. */
    bool tryAcquire();

    /** Gives a permit back after a success. */
    void releaseAfterSuccess();

    /** Gives a permit back after the target refused or could not be reached. */
    void releaseAfterFailure();

    /** Gives a permit back after a request that tells nothing, such as a cancelled one. */
    void release();

    /** Notes the incarnation in a response; a new one means that the target started again. */
    void observeIncarnation(incarnation life);

    [[nodiscard]] std::size_t limit() const noexcept { return m_limit; }
    [[nodiscard]] std::size_t inUse() const noexcept { return m_inUse; }
    [[nodiscard]] warmup_state state() const noexcept;

private:
    void turnCold();

    permit_settings m_settings;
    std::size_t m_limit;
    std::size_t m_inUse = 0;
    std::size_t m_successes = 0;
    incarnation m_life;
};

} // namespace mustardcourse::limits
