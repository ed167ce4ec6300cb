#pragma once

#include "Request/LatencyWindow.h"
#include "Request/Reasons.h"
#include "Request/RequestInfo.h"

#include <variant>

namespace Sapphireladder {

/** When a second attempt starts beside one without a response. */
struct HedgePlanPolicy
{
    /** Quantile of the latency after which a hedge starts if the latency objective permits it. */
    double quantile = 0.95;
    /** Quantile before which no hedge starts, so that few requests cause one. */
    double earliestQuantile = 0.9;
    /** Number of latencies without which the quantiles are too uncertain. */
    std::uint64_t minSampleCount = 30;
    /** Time to find a target for the hedge. */
    Duration searchDuration = std::chrono::milliseconds(12);
};

/** State of a request when an attempt has been sent. */
struct HedgeContext
{
    const RequestInfo &info;
    /** Attempts made so far, the one just sent included. */
    unsigned attempts = 1;
    unsigned maxAttempts = 1;
    TimePoint now;
    /** When the response must arrive to meet the latency objective. */
    TimePoint objectiveAt;
    /** Expected service time on an idle target. */
    Duration serviceTime{};
    /** Cost of the attempt's target; its expected service time as a multiple of the above. */
    double cost = 1.0;
};

/** When a hedge starts. */
struct HedgeStart
{
    /** Time after the attempt was sent. */
    Duration delay{};
    /** Share of the attempts that end within the delay. */
    double quantile = 0;
};

/** @return whether the request may have another attempt beside the one in progress. */
bool isHedgeable(const HedgeContext &context);

/**
 * The delay follows the latencies of the route, so that only the slowest attempts are hedged
 * whatever the load is. It is shortened, but not below the earliest quantile, if the hedge would
 * otherwise miss the latency objective.
 * @param latencies latencies of the route's attempts, divided by the cost of their targets
 * @return when the hedge starts, or why there is none.
 */
std::variant<HedgeStart, HedgeDenial>
planHedge(const HedgePlanPolicy &policy, const HedgeContext &context, LatencyWindow &latencies);

} // namespace Sapphireladder
