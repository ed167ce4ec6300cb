#include "Request/Request.h"

namespace Sapphireladder {

namespace {

double utilization(const TargetCandidate &candidate)
{
    return static_cast<double>(candidate.ownInFlight) / candidate.slots;
}

} // namespace

std::size_t LeastInFlightSelector::select(std::span<const TargetCandidate> candidates,
                                          const RoutingPolicy &, RandomSource &random)
{
    // Starts at a random candidate to break ties. Otherwise all VMs would choose the same target
    // while all are idle.
    const auto start = random.below(candidates.size());
    auto best = start;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const auto position = (start + i) % candidates.size();
        if (utilization(candidates[position]) < utilization(candidates[best]))
            best = position;
    }
    return best;
}

} // namespace Sapphireladder
