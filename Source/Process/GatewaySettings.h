#pragma once

#include "Core/Core.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Sapphireladder {

/** Settings of a gateway VM, which uses the routes and registry of the operator's platform. */
struct GatewaySettings
{
    VmId vm;
    ZoneName zone;
    /** Where callers connect. */
    Endpoint callerEndpoint;
    /** Where the platform probes readiness. */
    Endpoint readyEndpoint;
    /** Where metrics are served. */
    Endpoint metricsEndpoint;
    /** Where other VMs request relayed changes. */
    Endpoint relayEndpoint;
    /** The platform's store. */
    Endpoint platformEndpoint;
    /** Time between the stop signal and a forced exit. */
    Duration stopGrace = std::chrono::seconds(6);
    /** Retry budget of the whole fleet in a window: a share of the requests plus a constant. */
    double retryRatio = 0.2;
    double retrySlack = 20;
    Duration retryWindow = std::chrono::seconds(10);
    /** Maximum load probes per second that one target receives from all VMs together. */
    double loadProbesPerTargetPerSecond = 10;
    /** Maximum time until a change is in force at a VM. */
    Duration maxChangeDelay = std::chrono::seconds(2);
    /** Maximum time from the recovery of the platform's store until a VM is up to date. */
    Duration maxRecoveryDelay = std::chrono::seconds(3);
    std::size_t maxConnections = 3000;
    /** Processor cores of this VM; a fraction if it has a share of one. */
    double cores = 1;
    /** Allowances of workspaces hold in any window of this length. */
    Duration allowanceWindow = std::chrono::seconds(5);
    /** Tolerated excess over an allowance: a share of it plus a number of requests. */
    double allowanceExcess = 0;
    double allowanceSlack = 0;
    /** Tolerated excess over the rate of a cold target: a factor plus a number of requests. */
    double warmupFactor = 1;
    double warmupSlack = 0;
    /** Largest share of requests that may be sent to a second target to cut their latency. Zero
     * turns hedging off. */
    double hedgeRatio = 0;
    /** Share of the requests of each priority that is admitted in any overload. Zero admits all
     * requests, and leaves it to the search for a target which of them are refused. */
    double admissionMinShare = 0;
    /** Memory of this VM in bytes; 0 if unknown. */
    std::size_t memoryBytes = 0;
    /** Maximum number of open descriptors of this process; 0 if unknown. */
    std::size_t maxDescriptors = 0;
    /** All VMs start for the first time, so the fleet list is still empty. */
    bool isFirstStart = false;
    /** Seed of the random delays of calls to the store; the operating system's if unset. */
    std::optional<std::uint64_t> randomSeed = std::nullopt;

    friend bool operator==(const GatewaySettings &, const GatewaySettings &) = default;
};

} // namespace Sapphireladder
