#pragma once

#include "Request/TargetSelector.h"

namespace Sapphireladder {

/**
 * Samples candidates and takes the one with the lowest expected wait. The load of each is its last
 * report, which counts less with age in favour of the mean of all reports, plus this VM's own
 * sends since.
 */
class AgedEstimateSelector final : public TargetSelector
{
public:
    std::size_t select(std::span<const TargetCandidate> candidates, const RoutingPolicy &policy,
                       RandomSource &random) override;
};

/** Means over the candidates, which stand in for what is not known of one of them. */
struct CandidateMeans
{
    /** Reported load for each slot. */
    double reportedShare = 0;
    Duration serviceTime{};
};

/** @return the means over the candidates that have a report or a service time. */
CandidateMeans meansOf(std::span<const TargetCandidate> candidates);

/** @return the estimated number of requests at the target, never below this VM's own. */
double estimateLoad(const TargetCandidate &candidate, const CandidateMeans &means,
                    Duration reportHalfLife);

/** @return the expected time that one more request spends at the target. */
Duration estimateWait(const TargetCandidate &candidate, const CandidateMeans &means,
                      Duration reportHalfLife);

} // namespace Sapphireladder
