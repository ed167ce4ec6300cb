#pragma once

#include "Core/Core.h"

namespace Sapphireladder {

/**
 * Times at which long polls return if nothing changes. The polls of all tables of a VM share them,
 * so that one message to each client passes on that none has changed.
 */
struct PollSchedule
{
    /** A wait that is shorter ends at the time after the next one. */
    static constexpr Duration minWait = std::chrono::milliseconds(20);

    Duration interval = std::chrono::seconds(2);
    /** Keeps VMs that share a clock from calling the store at the same time. */
    Duration phase{};

    /** @return the next time at which a long poll that begins now returns. */
    TimePoint next(TimePoint now) const
    {
        const auto earliest = now + minWait;
        const auto sinceLast = (earliest.time_since_epoch() + phase) % interval;
        return earliest + (interval - sinceLast);
    }
};

} // namespace Sapphireladder
