#pragma once

#include "Core/Core.h"

namespace Sapphireladder {

/**
 * Limits on the age of a VM's copy of the platform's tables. The age is that of the store's last
 * confirmation, also for a copy that was relayed, so that a chain of VMs as a whole keeps the bound
 * on change propagation: the limits are nested and do not add up.
 */
struct FreshnessBounds
{
    /** Interval at which the long polls of a relaying VM return without changes. */
    Duration pollInterval;
    /**
     * How much more recent the tables of a relaying VM must be than its client's for a response
     * without changes. What it withholds adds to the client's age until the next poll.
     */
    Duration minRecencyGain;
    /** Age from which a VM relays nothing, so that its clients query another one. */
    Duration maxRelayedAge;
    /**
     * Age from which a VM uses every source that it has. The rest of the bound is for the calls to
     * those sources.
     */
    Duration maxAge;

    /** @param maxChangeDelay bound on the time until a confirmed change is in force */
    static FreshnessBounds of(Duration maxChangeDelay);
};

} // namespace Sapphireladder
