#pragma once

#include "Request/TargetSelector.h"

namespace Sapphireladder {

/** Takes any candidate with equal probability. */
class RandomSelector final : public TargetSelector
{
public:
    std::size_t select(std::span<const TargetCandidate> candidates, const RoutingPolicy &policy,
                       RandomSource &random) override;
};

} // namespace Sapphireladder
