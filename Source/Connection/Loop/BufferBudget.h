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
 * If the budget is exhausted, the connection has to end that holds the most for the longest time
 * without progress, whichever asks for more: otherwise a target that sends without end, or callers
 * that stop before the end of their requests, would make the messages of others fail.
 */
class BufferReservation
    : public boost::intrusive::list_base_hook<
              boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    using EvictionHandler = std::function<void()>;

    /**
     * @param budget denies any further growth after its end
     * @param evictionHandler called when the connection has to end in favour of another; it must
     * not change any reservation itself. If empty, the reservation is not evicted.
     */
    explicit BufferReservation(BufferBudget &budget, EvictionHandler evictionHandler = {});
    BufferReservation(const BufferReservation &) = delete;
    BufferReservation &operator=(const BufferReservation &) = delete;
    ~BufferReservation() { release(); }

    /**
     * Changes the size of the reservation. If the budget is exhausted, evicts others that are
     * larger or have made no progress for longer.
     * @param now time of the last progress of the connection
     * @return whether the budget allows it.
     */
    bool resize(std::size_t bytes, TimePoint now = {});
    /** Excludes the reservation from eviction, or includes it again. */
    void setEvictable(bool isEvictable) { m_isEvictable = isEvictable; }
    void release();

private:
    friend class BufferBudget;

    /** Null after the end of the budget. */
    BufferBudget *m_budget;
    EvictionHandler m_evictionHandler;
    std::size_t m_bytes = 0;
    TimePoint m_progressAt{};
    bool m_isEvictable = true;
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

    /**
     * @param memoryBytes memory of the VM; 0 if unknown
     * @return maximum number of bytes for the budget of a VM.
     */
    static std::size_t maxBytesFor(std::size_t memoryBytes);

    explicit BufferBudget(std::size_t maxBytes = defaultMaxBytes)
        : m_maxBytes(maxBytes)
    {}

    BufferBudget(const BufferBudget &) = delete;
    BufferBudget &operator=(const BufferBudget &) = delete;
    /** Detaches the reservations: an event loop destroys its pending handlers, and with them
     * connections, after the gateway with its budget. */
    ~BufferBudget();

    std::size_t usedBytes() const { return m_usedBytes; }
    std::size_t maxBytes() const { return m_maxBytes; }
    /** @return the number of reservations that were evicted. */
    std::uint64_t evictionCount() const { return m_evictionCount; }

private:
    friend class BufferReservation;

    /**
     * Evicts the reservation with the largest weight if that is larger than the weight of this one.
     * @return whether it was.
     */
    bool evictHeavierThan(const BufferReservation &reservation, TimePoint now);

    const std::size_t m_maxBytes;
    std::size_t m_usedBytes = 0;
    std::uint64_t m_evictionCount = 0;
    boost::intrusive::list<BufferReservation, boost::intrusive::constant_time_size<false>>
            m_reservations;
};

} // namespace Sapphireladder
