#pragma once

#include "Process/GatewaySettings.h"
#include "Process/TargetDirectory.h"
#include "Request/ColdTargetPolicy.h"
#include "Version/Version.h"

#include <optional>
#include <unordered_map>

namespace Sapphireladder {

/** This VM's parts of the limits for the cold targets of each service. Used by one thread. */
class ColdTargetShares
{
public:
    /**
     * Divides the limits anew.
     * @param routes the routes in force; null if none are known
     * @param fleetSize estimated number of VMs
     */
    void update(const RouteTable *routes, unsigned fleetSize, const GatewaySettings &settings,
                TimePoint now);
    /** @return requests that the VM may send to the target in a window while it is cold, or
     * nothing if cold targets of the service have no limit. */
    std::optional<unsigned> allowance(const ServiceName &service, const VmId &vm,
                                      const TargetRecord &target) const;

private:
    FleetSizeBound m_fleetSize;
    /** For the services that have a limit. */
    std::unordered_map<ServiceName, ColdTargetShare> m_shares;
};

} // namespace Sapphireladder
