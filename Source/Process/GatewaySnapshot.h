#pragma once

#include "Process/TargetDirectory.h"
#include "Version/Version.h"

#include <memory>
#include <vector>

namespace Sapphireladder {

/** What the control thread knows at one moment. Immutable; traffic threads hold the newest. */
struct GatewaySnapshot
{
    /** Null until the first version of the routes is known. */
    std::shared_ptr<const RouteTable> routes;
    std::vector<TargetRecord> targets;
    /** Upper estimate of the VMs that run, this one included. */
    unsigned fleetSize = 1;
    /** Whether the registry of targets was read since the start. */
    bool knowsTargets = false;
};

/** Receives each new snapshot. */
class SnapshotSink
{
public:
    virtual ~SnapshotSink() = default;
    virtual void publish(std::shared_ptr<const GatewaySnapshot> snapshot) = 0;
};

} // namespace Sapphireladder
