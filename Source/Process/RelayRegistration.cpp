#include "Process/Process.h"

#include <algorithm>

namespace Sapphireladder {

Duration RelayRegistration::startDelay(bool isFirstStart, double cores, double random)
{
    if (!isFirstStart)
        return Duration::zero();
    constexpr double minCores = 0.05;
    // Jitter of 50 % keeps equal VMs from all finding the list empty.
    const double factor = (0.5 + random) / std::max(cores, minCores);
    return std::min(duration_cast<Duration>(meanStartDelay * factor), maxStartDelay);
}

bool RelayRegistration::isNeeded(std::span<const FleetMember> members,
                                 std::span<const VmId> failingVms, const FleetMember &self)
{
    std::size_t relays = 0;
    for (const auto &it : members) {
        if (it.vm == self.vm)
            return it.zone != self.zone || it.relayEndpoint != self.relayEndpoint;
        const bool isFailing = std::find(failingVms.begin(), failingVms.end(), it.vm)
                               != failingVms.end();
        relays += it.zone == self.zone && !isFailing ? 1 : 0;
    }
    return relays < relaysPerZone;
}

} // namespace Sapphireladder
