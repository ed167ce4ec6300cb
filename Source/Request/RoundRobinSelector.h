#pragma once

#include "Request/TargetSelector.h"

#include <atomic>

namespace Sapphireladder {

/** Selects the candidates in turn. */
class RoundRobinSelector final : public TargetSelector
{
public:
    std::size_t select(std::span<const TargetCandidate> candidates, const RoutingPolicy &policy,
                       RandomSource &random) override;

private:
    std::atomic<std::size_t> m_next{0};
};

} // namespace Sapphireladder
