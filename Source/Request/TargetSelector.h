#pragma once

#include "Core/Core.h"
#include "Version/Version.h"

#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace Sapphireladder {

/** A usable target as the routing strategies see it. */
struct TargetCandidate
{
    /** Index of the target in its service's view. */
    std::size_t index = 0;
    /** Slots that the target may use at its ramp weight, at least 1. */
    unsigned slots = 1;
    /** Requests of this VM that are in flight at the target. */
    unsigned ownInFlight = 0;
    /** Requests in flight by the last report; undefined without one. */
    unsigned reportedInFlight = 0;
    /** Age of the last report, or nothing if there is none. */
    std::optional<Duration> reportAge;
    /** Requests sent by this VM since the last report, minus those completed since. */
    int ownSinceReport = 0;
    /** Mean service time measured by this VM. */
    Duration serviceTime{};
    bool isInSameZone = true;
    /** Share of its full load that a target gets while it ramps up, above 0 and up to 1. */
    double rampWeight = 1.0;
};

/** Selects a target. One object is used by all threads that route to a service. */
class TargetSelector
{
public:
    virtual ~TargetSelector() = default;

    /**
     * @param candidates usable targets with a free slot, at least one
     * @param policy the service's routing policy
     * @param random the calling thread's random number generator
     * @return index of the selection in `candidates`.
     */
    virtual std::size_t select(std::span<const TargetCandidate> candidates,
                               const RoutingPolicy &policy, RandomSource &random) = 0;
};

/** One row of the table of routing strategies. */
struct RoutingStrategy
{
    std::string_view name;
    std::unique_ptr<TargetSelector> (*create)();
};

/** @return all strategies that a preset may use. */
std::span<const RoutingStrategy> routingStrategies();

/** @param name a strategy's name @return its row, or null. */
const RoutingStrategy *findRoutingStrategy(std::string_view name);

} // namespace Sapphireladder
