#pragma once

#include "Process/TableFreshness.h"
#include "Process/TargetDirectory.h"
#include "Version/Version.h"

#include <memory>
#include <set>
#include <vector>

namespace Sapphireladder {

/** Immutable snapshot of the control state for the traffic threads. */
struct GatewaySnapshot
{
    /** Null until the first version of the routes has been received. */
    std::shared_ptr<const RouteTable> routes;
    /** The VM that relayed the routes, or "store". */
    std::string routesSource;
    std::vector<TargetRecord> targets;
    /** Zones whose targets must not receive requests. */
    std::set<ZoneName> evacuatedZones;
    /** Upper estimate of the number of running VMs, including this one. */
    unsigned fleetSize = 1;
    /** Where the collectors of allowances get messages, in an order that is the same on all VMs. */
    std::vector<Endpoint> allowanceCollectors;
    /** Whether the target registry has been read since the start. */
    bool hasReadTargets = false;
    /** Until when the routes and targets are complete. Null if no table was received. */
    std::shared_ptr<const TableFreshness> freshness;
};

/** Receives each new snapshot. */
class SnapshotSink
{
public:
    virtual ~SnapshotSink() = default;
    virtual void publish(std::shared_ptr<const GatewaySnapshot> snapshot) = 0;
};

} // namespace Sapphireladder
