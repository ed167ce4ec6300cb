#include "Request/Request.h"

namespace Sapphireladder {

std::size_t RandomSelector::select(std::span<const TargetCandidate> candidates,
                                   const RoutingPolicy &, RandomSource &random)
{
    return random.below(candidates.size());
}

} // namespace Sapphireladder
