#pragma once

#include "Core/Core.h"

#include <cstddef>

namespace Sapphireladder {

/** Settings of a VM that serves on a platform of its operator. */
struct GatewaySettings
{
    VmId vm;
    ZoneName zone;
    /** Where callers connect. */
    Endpoint callerEndpoint;
    /** Where the platform asks for readiness. */
    Endpoint readyEndpoint;
    /** Where counters and histograms are read. */
    Endpoint metricsEndpoint;
    /** Where other VMs ask for changes. */
    Endpoint relayEndpoint;
    /** The platform's metadata store. */
    Endpoint platformEndpoint;
    /** Time between the signal to stop and the forced end. */
    Duration stopGrace = std::chrono::seconds(6);
    /** Repeated attempts allowed for each request, and besides, by all VMs in a window. */
    double repeatRatio = 0.2;
    double repeatSlack = 20;
    Duration repeatWindow = std::chrono::seconds(10);
    /** Questions for its load that one target gets each second at most, from all VMs. */
    double asksPerTarget = 10;
    /** Time within which a change has to be in force at a VM. */
    Duration changeBound = std::chrono::seconds(2);
    std::size_t maxConnections = 3000;
    /** All VMs start for the first time, so that none has listed itself yet. */
    bool isFirstStart = false;

    friend bool operator==(const GatewaySettings &, const GatewaySettings &) = default;
};

} // namespace Sapphireladder
