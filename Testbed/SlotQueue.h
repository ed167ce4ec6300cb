#pragma once

#include "Testbed/NoisyNeighbour.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace Sapphireladder::Testbed {

/** Concurrency and queue limits of a target. */
struct SlotLimits
{
    /** Maximum number of requests executed concurrently. */
    unsigned slots = 6;
    /** Maximum number of requests that wait for a slot. */
    unsigned queue = 16;
};

/** Result of waiting for a slot. */
enum class SlotResult {
    Acquired,
    QueueFull,
    /** The deadline passed before a slot became free. */
    DeadlineExceeded,
    Stopped,
};

/** Execution slots of a target, assigned to waiting requests in FIFO order. Thread-safe. */
class SlotQueue
{
public:
    SlotQueue(const SlotLimits &limits, const NoiseOptions &noise, std::uint64_t seed);

    void setLimits(const SlotLimits &limits);
    void setNoise(const NoiseOptions &options);

    /** Acquires a slot, waiting if necessary. @param deadline latest start of the request */
    SlotResult acquire(TimePoint deadline);
    /** Releases a slot. */
    void release();
    /** Makes all waiting requests return Stopped. */
    void stop();

    /** @return the number of running and waiting requests and of slots the neighbour occupies. */
    unsigned load();
    unsigned slots();

private:
    bool hasFreeSlot(TimePoint now);

    SteadyClock m_clock;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    SlotLimits m_limits;
    NoisyNeighbour m_neighbour;
    unsigned m_runningCount = 0;
    std::uint64_t m_nextTicket = 0;
    /** Tickets of the waiting requests, oldest first. */
    std::deque<std::uint64_t> m_waitingTickets;
    bool m_stopped = false;
};

} // namespace Sapphireladder::Testbed
