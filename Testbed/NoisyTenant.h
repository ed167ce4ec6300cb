#pragma once

#include "Core/Core.h"

namespace Sapphireladder::Testbed {

/** How another tenant of the target's machine takes slots. */
struct NoiseOptions
{
    /** Share of the slots that it takes in a burst, from 0 to 1. 0 means that there is none. */
    double share = 0;
    /** Mean length of a burst; each lasts from half to one and a half of it. */
    Duration burst = std::chrono::milliseconds(30);
    /** Mean time between two bursts. */
    Duration gap = std::chrono::milliseconds(70);
};

/** Takes a share of the slots in bursts. Not safe for use by several threads. */
class NoisyTenant
{
public:
    explicit NoisyTenant(std::uint64_t seed)
        : m_random(seed)
    {}

    void setOptions(const NoiseOptions &options, TimePoint now);

    /** @return slots that it holds now. */
    unsigned heldSlots(unsigned slots, TimePoint now);
    /** @return when the number may change next. */
    TimePoint nextChange() const { return m_nextChange; }

private:
    void advance(TimePoint now);

    NoiseOptions m_options;
    RandomSource m_random;
    bool m_inBurst = false;
    TimePoint m_nextChange = TimePoint::max();
};

} // namespace Sapphireladder::Testbed
