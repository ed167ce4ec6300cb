#pragma once

#include "Core/Core.h"

#include <string>
#include <string_view>
#include <vector>

namespace Sapphireladder {

/** One upstream instance of a service. */
struct TargetSpec
{
    TargetId id;
    Endpoint endpoint;
    ZoneName zone;
    /** Number of requests that the target executes concurrently. */
    unsigned slots = 1;
};

/** Limits of the queue that each VM has for a service. */
struct QueuePolicy
{
    /** Maximum number of waiting requests. */
    unsigned capacity = 64;
    /** Share of the slots given to deferrable requests while urgent ones wait, from 0 to 1. */
    double deferrableShare = 0.1;
};

/** Limits of retries. */
struct RetryPolicy
{
    /** Retries allowed for each first attempt, from 0 to 1. */
    double budgetRatio = 0.1;
    /** Retries allowed in a burst beyond the ratio. */
    unsigned burst = 10;
    /** Attempts for one request, including the first. */
    unsigned maxAttempts = 3;
};

/** Limits of hedged attempts, which only idempotent requests get. */
struct HedgePolicy
{
    bool enabled = false;
    /** Latency quantile after which a second attempt starts. */
    double quantile = 0.99;
    /** Hedges allowed for each first attempt, from 0 to 1. */
    double budgetRatio = 0.02;
};

/** Names of the routing strategies. The Request library implements them. */
constexpr std::string_view routingStrategyNames[] = {
        "round-robin", "random", "least-in-flight", "power-of-two", "aged-estimate",
};

/** How a target is selected for a request. */
struct RoutingPolicy
{
    /** One of routingStrategyNames. */
    std::string strategy = "aged-estimate";
    /** Targets sampled and compared for one selection. */
    unsigned sampleSize = 3;
    /** Additional expected wait accepted to stay in the VM's own availability zone. */
    Duration zoneMargin = std::chrono::milliseconds(1);
    /** Age at which the weight of a load report has halved. */
    Duration reportHalfLife = std::chrono::milliseconds(50);
};

/** Limits of active health and load probes. */
struct ProbePolicy
{
    /** Probes per second sent to one target by all VMs together. */
    double probesPerTargetPerSecond = 0.5;
    /** A target is probed once nothing has been received from it for this long. */
    Duration idleTime = std::chrono::seconds(2);
    Duration timeout = std::chrono::milliseconds(500);
};

/** When a failing target is ejected from selection, and for how long. */
struct EjectionPolicy
{
    unsigned consecutiveFailures = 5;
    Duration baseEjectionTime = std::chrono::seconds(1);
    Duration maxEjectionTime = std::chrono::seconds(30);
    /** Minimum share of the targets that stays in selection, from 0 to 1. */
    double minRetainedShare = 0.5;
    /** Time over which a reinstated target's share of the traffic rises to its full value. */
    Duration rampUpTime = std::chrono::seconds(10);
};

/** Response status and header by which a target states that it did not execute a request. */
struct ShedMark
{
    unsigned status = 503;
    std::string header = "Sapphireladder-Shed";
    std::string value = "not-run";
};

/** Classifies requests as idempotent or not by method and path. The first matching rule applies. */
struct IdempotencyRule
{
    /** HTTP method, or "*". */
    std::string method;
    std::string pathPrefix;
    bool idempotent = true;
};

/** Time limits of a request, until its response is complete. */
struct DeadlinePolicy
{
    Duration defaultTimeout = std::chrono::seconds(2);
    Duration maxTimeout = std::chrono::seconds(30);
};

/** Policies and targets of one service. */
struct ServicePolicy
{
    ServiceName name;
    DeadlinePolicy deadline;
    QueuePolicy queue;
    RetryPolicy retry;
    HedgePolicy hedge;
    RoutingPolicy routing;
    ProbePolicy probe;
    EjectionPolicy ejection;
    ShedMark shedMark;
    std::vector<IdempotencyRule> idempotencyRules;
    std::vector<TargetSpec> targets;
};

/** A named set of service policies that an operator can activate. */
struct Preset
{
    PresetName name;
    /** Maximum number of running VMs, including replacements. Limits the total rate of probes. */
    unsigned maxVmCount = 30;
    std::vector<ServicePolicy> services;
};

} // namespace Sapphireladder
