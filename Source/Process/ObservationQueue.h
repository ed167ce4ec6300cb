#pragma once

#include "Process/TargetObservation.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <vector>

namespace Sapphireladder {

/** Bounded queue of observations from traffic threads to the control thread. Drops when full. */
class ObservationQueue
{
public:
    /** Holds the observations of six ticks at the design call rate: 1,200 per VM and tick. */
    static constexpr std::size_t defaultCapacity = 8192;

    explicit ObservationQueue(std::size_t capacity = defaultCapacity)
        : m_capacity(capacity)
    {}

    /** Appends an observation. If the queue is full, drops and counts it. */
    void push(TargetObservation observation);
    /** @return the observations since the last call, oldest first. */
    std::vector<TargetObservation> drain();
    /** @return number of observations dropped so far. */
    std::uint64_t dropped() const { return m_dropped.load(std::memory_order_relaxed); }

private:
    const std::size_t m_capacity;
    std::mutex m_mutex;
    std::vector<TargetObservation> m_observations;
    std::atomic<std::uint64_t> m_dropped{0};
};

} // namespace Sapphireladder
