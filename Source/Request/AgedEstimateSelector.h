#pragma once

#include "Request/TargetSelector.h"

namespace Sapphireladder {

/**
 * Samples candidates and selects the one with the lowest expected wait. A candidate's load is
 * estimated from its last report plus the requests that this VM has sent since. As the report ages,
 * its weight decays exponentially and the mean load of all candidates replaces it.
 */
class AgedEstimateSelector final : public TargetSelector
{
public:
    std::size_t select(std::span<const TargetCandidate> candidates, const RoutingPolicy &policy,
                       RandomSource &random) override;
};

/** Means over the candidates, used where a candidate has no value of its own. */
struct CandidateMeans
{
    /** Reported requests in flight per slot. */
    double reportedUtilization = 0;
    Duration serviceTime{};
};

/** @return the means over the candidates that have a report or a service time. */
CandidateMeans meansOf(std::span<const TargetCandidate> candidates);

/** @return the estimated number of requests at the target, at least the requests that this VM has
 * in flight there. */
double estimateLoad(const TargetCandidate &candidate, const CandidateMeans &means,
                    Duration reportHalfLife);

/** @return the time that one more request is expected to spend at the target. */
Duration estimateWait(const TargetCandidate &candidate, const CandidateMeans &means,
                      Duration reportHalfLife);

} // namespace Sapphireladder
