#pragma once

#include "Process/PeerMessages.h"

#include <string>
#include <vector>

namespace Sapphireladder {

/** What operators are shown of the control state. Immutable. */
struct FleetStatus
{
    bool ready = false;
    /** Why the VM is not ready; empty if it is. */
    std::string why;
    bool isolated = false;
    bool storeReachable = false;
    std::uint64_t incarnation = 0;
    /** Highest version heard of. */
    PresetVersion heardVersion = 0;
    std::uint64_t olderVersions = 0;
    std::vector<Member> members;
    std::size_t leavingTargets = 0;
};

} // namespace Sapphireladder
