#pragma once

#include "Core/Core.h"

#include <cstddef>
#include <utility>

namespace Sapphireladder {

/**
 * Bytes of incomplete messages that the connections of one event loop hold together. A limit for
 * each message is not enough: a faulty target that sends without end on many connections, or many
 * slow callers with large bodies, would use up the memory of a small VM.
 */
class BufferBudget
{
public:
    /** Strings that grow take up to twice their size, and the smallest VMs have 160 MB. */
    static constexpr std::size_t defaultMaxBytes = 32 * mebibyte;

    explicit BufferBudget(std::size_t maxBytes = defaultMaxBytes)
        : m_maxBytes(maxBytes)
    {}

    std::size_t usedBytes() const { return m_usedBytes; }

private:
    friend class BufferReservation;

    const std::size_t m_maxBytes;
    std::size_t m_usedBytes = 0;
};

/** The part of a budget that one connection uses. Returned on destruction. */
class BufferReservation
{
public:
    /** @param budget must outlive the reservation */
    explicit BufferReservation(BufferBudget &budget)
        : m_budget(budget)
    {}
    BufferReservation(const BufferReservation &) = delete;
    BufferReservation &operator=(const BufferReservation &) = delete;
    ~BufferReservation() { release(); }

    /** Changes the size of the reservation. @return whether the budget allows it. */
    bool resize(std::size_t bytes)
    {
        m_budget.m_usedBytes += bytes;
        m_budget.m_usedBytes -= std::exchange(m_bytes, bytes);
        return m_bytes == 0 || m_budget.m_usedBytes <= m_budget.m_maxBytes;
    }
    void release() { resize(0); }

private:
    BufferBudget &m_budget;
    std::size_t m_bytes = 0;
};

} // namespace Sapphireladder
