#pragma once

#include "Core/Core.h"

namespace Sapphireladder::Testbed {

/** Simulated load from other processes on the target's host, which occupies slots in bursts. */
struct NoiseOptions
{
    /** Share of the slots occupied during a burst, from 0 to 1. 0 disables the load. */
    double share = 0;
    /** Mean duration of a burst; actual durations are 0.5 to 1.5 times the mean. */
    Duration burst = std::chrono::milliseconds(30);
    /** Mean time between two bursts, with the same variation. */
    Duration gap = std::chrono::milliseconds(70);
};

/** Simulates a noisy neighbour that occupies slots in bursts. Not thread-safe. */
class NoisyNeighbour
{
public:
    explicit NoisyNeighbour(std::uint64_t seed)
        : m_random(seed)
    {}

    void setOptions(const NoiseOptions &options, TimePoint now);

    /** @return the number of slots occupied at this time. */
    unsigned occupiedSlots(unsigned slots, TimePoint now);
    /** @return the next time at which the number may change. */
    TimePoint nextChange() const { return m_nextChange; }

private:
    void advance(TimePoint now);

    NoiseOptions m_options;
    RandomSource m_random;
    bool m_inBurst = false;
    TimePoint m_nextChange = TimePoint::max();
};

} // namespace Sapphireladder::Testbed
