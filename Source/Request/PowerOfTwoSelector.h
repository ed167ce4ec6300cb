#pragma once

#include "Request/TargetSelector.h"

namespace Sapphireladder {

/** Compares two random candidates by this VM's requests in flight plus the last report. */
class PowerOfTwoSelector final : public TargetSelector
{
public:
    std::size_t select(std::span<const TargetCandidate> candidates, const RoutingPolicy &policy,
                       RandomSource &random) override;
};

} // namespace Sapphireladder
