#pragma once

#include "Core/Core.h"

#include <string>
#include <string_view>
#include <vector>

namespace Sapphireladder {

/** One upstream instance. */
struct TargetSpec
{
    TargetId id;
    Endpoint endpoint;
    ZoneName zone;
    /** Requests that the target runs at the same time. */
    unsigned slots = 1;
};

/** Bounds of the per-service queue in each VM. */
struct QueuePolicy
{
    /** Requests that may wait. */
    unsigned capacity = 64;
    /** Share of the slots that deferrable requests get while urgent ones wait, from 0 to 1. */
    double deferrableShare = 0.1;
};

/** Bounds of repeated attempts. */
struct RetryPolicy
{
    /** Retries allowed for each first attempt, from 0 to 1. */
    double budgetRatio = 0.1;
    /** Retries that may come at once before the ratio limits them. */
    unsigned burst = 10;
    /** Attempts of one request, the first included. */
    unsigned maxAttempts = 3;
};

/** Bounds of hedged attempts of idempotent requests. */
struct HedgePolicy
{
    bool enabled = false;
    /** Latency quantile after which a second attempt starts. */
    double quantile = 0.99;
    /** Hedges allowed for each first attempt, from 0 to 1. */
    double budgetRatio = 0.02;
};

/** Strategies that a preset may name. The objects behind the names are in the Request library. */
constexpr std::string_view routingStrategyNames[] = {
        "round-robin", "random", "least-in-flight", "power-of-two", "aged-estimate",
};

/** How targets are chosen. */
struct RoutingPolicy
{
    /** One of routingStrategyNames. */
    std::string strategy = "aged-estimate";
    /** Targets compared for one choice. */
    unsigned sampleSize = 3;
    /** Extra expected wait accepted for a target in the VM's own availability zone. */
    Duration zoneMargin = std::chrono::milliseconds(1);
    /** Age at which a load report counts half. */
    Duration reportHalfLife = std::chrono::milliseconds(50);
};

/** Bounds of active measuring. */
struct ProbePolicy
{
    /** Probes each second for one target, summed over all VMs. */
    double perTargetPerSecond = 0.5;
    /** A target is probed only if nothing was heard of it for this long. */
    Duration after = std::chrono::seconds(2);
    Duration timeout = std::chrono::milliseconds(500);
};

/** When a target that fails is left out. */
struct EjectionPolicy
{
    unsigned consecutiveFaults = 5;
    Duration baseTime = std::chrono::seconds(1);
    Duration maxTime = std::chrono::seconds(30);
    /** Share of the targets that is never ejected, from 0 to 1. */
    double keepShare = 0.5;
    /** Time over which a returning target's share grows to full. */
    Duration ramp = std::chrono::seconds(10);
};

/** How a target says that it did not run a request. */
struct ShedMark
{
    unsigned status = 503;
    std::string header = "Sapphireladder-Shed";
    std::string value = "not-run";
};

/** Marks requests as idempotent or not by method and path. The first rule that fits decides. */
struct IdempotencyRule
{
    /** HTTP method, or "*". */
    std::string method;
    std::string pathPrefix;
    bool idempotent = true;
};

/** Time that a request may take, answer included. */
struct DeadlinePolicy
{
    Duration standard = std::chrono::seconds(2);
    Duration maximum = std::chrono::seconds(30);
};

/** Everything a preset says of one service. */
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

/** A named set of policies that an operator can put in force. */
struct Preset
{
    PresetName name;
    /** Largest number of VMs that may run, replacements included. Bounds the sum of probes. */
    unsigned maxFleet = 30;
    std::vector<ServicePolicy> services;
};

} // namespace Sapphireladder
