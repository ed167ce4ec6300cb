#pragma once

#include "Core/Core.h"

#include <cstddef>
#include <vector>

namespace Sapphireladder {

/** Settings of one VM's process, read once at the start. */
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
    /** VMs to contact when the store cannot say which exist. */
    std::vector<Endpoint> seedPeers;
    unsigned trafficThreads = 32;
    std::size_t maxConnections = 4096;
    /** Bytes of a request's body. */
    std::size_t bodyLimit = mebibyte;
    /** Bytes of an answer's body. */
    std::size_t answerLimit = mebibyte;
    /** Time between failing readiness and closing connections at a stop. */
    Duration lameduck = std::chrono::seconds(2);
    /** Time between two reads of the row that says which preset is in force. */
    Duration presetReadInterval = std::chrono::seconds(4);
    Duration heartbeatInterval = std::chrono::seconds(5);
    Duration digestInterval = std::chrono::seconds(1);
    /** Time without store and peers after which the VM is not ready. */
    Duration isolationLimit = std::chrono::seconds(10);
    /** Time that one call to the platform may take. */
    Duration storeTimeout = std::chrono::seconds(1);
};

} // namespace Sapphireladder
