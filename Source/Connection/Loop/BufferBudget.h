#pragma once

#include "Core/Core.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <functional>

namespace Sapphireladder {

class BufferBudget;

/**
 * The part of a budget that one connection uses. Returned on destruction.
 *
 * If the budget is exhausted, the connection that holds the most has to end, whichever asks for
 * more: otherwise a target that sends without end would make the messages of others fail.
 */
class BufferReservation
    : public boost::intrusive::list_base_hook<
              boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    using EvictionHandler = std::function<void()>;

    /**
     * @param budget must outlive the reservation
     * @param evictionHandler called when the connection has to end in favour of another; it must
     * not change any reservation itself. If empty, the reservation is not evicted.
     */
    explicit BufferReservation(BufferBudget &budget, EvictionHandler evictionHandler = {});
    BufferReservation(const BufferReservation &) = delete;
    BufferReservation &operator=(const BufferReservation &) = delete;
    ~BufferReservation() { release(); }

    /**
     * Changes the size of the reservation. Evicts larger ones if the budget is exhausted.
     * @return whether the budget allows it.
     */
    bool resize(std::size_t bytes);
    void release();

private:
    friend class BufferBudget;

    BufferBudget &m_budget;
    EvictionHandler m_evictionHandler;
    std::size_t m_bytes = 0;
    /** The connection has to end, and has not released the reservation yet. */
    bool m_isEvicted = false;
};

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

    /** Evicts the largest reservation if it is larger than this one. @return whether it was. */
    bool evictLargerThan(const BufferReservation &reservation);

    const std::size_t m_maxBytes;
    std::size_t m_usedBytes = 0;
    boost::intrusive::list<BufferReservation, boost::intrusive::constant_time_size<false>>
            m_reservations;
};

} // namespace Sapphireladder
