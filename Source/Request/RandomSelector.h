#pragma once

#include "Request/TargetSelector.h"

namespace Sapphireladder {

/** Selects a candidate uniformly at random. */
class RandomSelector final : public TargetSelector
{
public:
    std::size_t select(std::span<const TargetCandidate> candidates, const RoutingPolicy &policy,
                       RandomSource &random) override;
};

} // namespace Sapphireladder
