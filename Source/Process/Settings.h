#pragma once

#include "Core/Core.h"

#include <cstddef>
#include <vector>

namespace Sapphireladder {

/** Settings of one VM's process, read once at startup. */
struct Settings
{
    VmId vm;
    ZoneName zone;
    /** Where callers connect. */
    Endpoint callerEndpoint;
    /** Where operators connect. */
    Endpoint adminEndpoint;
    /** Where other VMs connect. */
    Endpoint peerEndpoint;
    /** The platform's table service, object store and VM list. */
    Endpoint platformEndpoint;
    /** VMs to contact while too few live peers are known. */
    std::vector<Endpoint> seedPeers;
    unsigned trafficThreads = 32;
    std::size_t maxConnections = 4096;
    /** Maximum size of a request body in bytes. */
    std::size_t maxBodyBytes = mebibyte;
    /** Maximum size of a response body in bytes. */
    std::size_t maxResponseBytes = mebibyte;
    /** Time between failing readiness and closing connections during shutdown. */
    Duration lameduck = std::chrono::seconds(2);
    /** Interval of reads of the active preset's row. */
    Duration presetReadInterval = std::chrono::seconds(4);
    Duration heartbeatInterval = std::chrono::seconds(5);
    Duration digestInterval = std::chrono::seconds(1);
    /** Time without contact to store and peers after which the VM is not ready. */
    Duration isolationLimit = std::chrono::seconds(10);
    /** Timeout of one call to the platform. */
    Duration storeTimeout = std::chrono::seconds(1);
};

} // namespace Sapphireladder
