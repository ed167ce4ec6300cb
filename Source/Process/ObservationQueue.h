#pragma once

#include "Process/TargetObservation.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <vector>

namespace Sapphireladder {

/** Brings observations from traffic threads to the control thread. Never blocks for room. */
class ObservationQueue
{
public:
    /** Observations that may wait. A VM's share of the target call rate is 1,200 for each tick. */
    static constexpr std::size_t standardCapacity = 8192;

    explicit ObservationQueue(std::size_t capacity = standardCapacity)
        : m_capacity(capacity)
    {}

    /** Appends an observation, or drops and counts it if the queue is full. */
    void push(TargetObservation observation);
    /** @return what has arrived since the last call, oldest first. */
    std::vector<TargetObservation> drain();
    /** @return observations dropped so far. */
    std::uint64_t dropped() const { return m_dropped.load(std::memory_order_relaxed); }

private:
    const std::size_t m_capacity;
    std::mutex m_mutex;
    std::vector<TargetObservation> m_observations;
    std::atomic<std::uint64_t> m_dropped{0};
};

} // namespace Sapphireladder
