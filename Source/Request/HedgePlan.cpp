#include "Request/Request.h"

namespace Sapphireladder {

bool isHedgeable(const HedgeContext &context)
{
    return context.info.idempotent && context.info.priorAttempts == 0
           && context.attempts < context.maxAttempts;
}

std::variant<HedgeStart, HedgeDenial>
planHedge(const HedgePlanPolicy &policy, const HedgeContext &context, LatencyWindow &latencies)
{
    if (latencies.count(context.now) < policy.minSampleCount)
        return HedgeDenial::TooFewSamples;
    const auto delayOf = [&](double quantile) {
        return duration_cast<Duration>(latencies.quantile(quantile, context.now) * context.cost);
    };
    const auto latest = context.objectiveAt - context.now - context.serviceTime
                        - policy.searchDuration;
    if (latest < delayOf(policy.earliestQuantile))
        return HedgeDenial::ObjectiveNear;
    const auto delay = delayOf(policy.quantile);
    if (delay <= latest)
        return HedgeStart{delay, policy.quantile};
    const auto normalized = duration_cast<Duration>(latest / context.cost);
    return HedgeStart{latest, latencies.rankOf(normalized, context.now)};
}

} // namespace Sapphireladder
