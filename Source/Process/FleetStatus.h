#pragma once

#include "Process/PeerMessages.h"

#include <string>
#include <vector>

namespace Sapphireladder {

/** The part of the control state that is shown to operators. Immutable. */
struct FleetStatus
{
    bool ready = false;
    /** Why the VM is not ready; empty if it is ready. */
    std::string notReadyReason;
    bool isolated = false;
    bool storeReachable = false;
    std::uint64_t incarnation = 0;
    /** Highest version that was reported by the store or a peer. */
    PresetVersion highestReportedVersion = 0;
    std::uint64_t olderVersions = 0;
    std::vector<Member> members;
    std::size_t leavingTargets = 0;
};

} // namespace Sapphireladder
