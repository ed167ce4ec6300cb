#pragma once

#include "Request/TargetSelector.h"

namespace Sapphireladder {

/** Samples two candidates and selects the less loaded one, by own requests and last report. */
class PowerOfTwoSelector final : public TargetSelector
{
public:
    std::size_t select(std::span<const TargetCandidate> candidates, const RoutingPolicy &policy,
                       RandomSource &random) override;
};

} // namespace Sapphireladder
