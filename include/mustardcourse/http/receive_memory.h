#pragma once

#include <mustardcourse/core/memory_size.h>

#include <cstddef>

namespace mustardcourse::http {

/**
    Limits the memory of all messages that are being read at the same time.

    Each message has a limit of its own, but many peers that send without end could fill the memory
    of a small host together. While all messages take less than the limit, each may grow. Beyond it,
    up to twice the limit, only those that hold no more than an even share may: small messages are
    read beside large ones, which are given up as soon as they grow.
*/
class receive_memory
{
public:
    /** The memory of one message. It must not outlive its receive_memory. */
    class share
    {
    public:
        /** @param memory  what it is part of; null for a message whose memory is not limited */
        explicit share(receive_memory *memory) noexcept
            : m_memory(memory)
        { }
        ~share() { release(); }
        share(const share &) = delete;
        share &operator=(const share &) = delete;

        /** Sets how many bytes the message takes, and returns whether it may take them. */
        [[nodiscard]] bool resize(std::size_t bytes) noexcept;
        /** Records that the message has been taken or given up. */
        void release() noexcept;

    private:
        receive_memory *m_memory;
        std::size_t m_bytes = 0;
    };

    explicit receive_memory(memory_size limit) noexcept
        : m_limitBytes(limit.value())
    { }
    receive_memory(const receive_memory &) = delete;
    receive_memory &operator=(const receive_memory &) = delete;

    /** Returns how many bytes all messages take now, and how many they took at most. */
    [[nodiscard]] std::size_t heldBytes() const noexcept { return m_heldBytes; }
    [[nodiscard]] std::size_t peakBytes() const noexcept { return m_peakBytes; }
    /** Returns how often a message was given up for the sake of the others. */
    [[nodiscard]] std::size_t refusedCount() const noexcept { return m_refusedCount; }

private:
    std::size_t m_limitBytes;
    std::size_t m_heldBytes = 0;
    std::size_t m_peakBytes = 0;
    /** Number of messages that take any bytes. */
    std::size_t m_holderCount = 0;
    std::size_t m_refusedCount = 0;
};

} // namespace mustardcourse::http
