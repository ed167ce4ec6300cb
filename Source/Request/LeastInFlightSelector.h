#pragma once

#include "Request/TargetSelector.h"

namespace Sapphireladder {

/** Selects the candidate with the smallest share of its slots in use by this VM. */
class LeastInFlightSelector final : public TargetSelector
{
public:
    std::size_t select(std::span<const TargetCandidate> candidates, const RoutingPolicy &policy,
                       RandomSource &random) override;
};

} // namespace Sapphireladder
