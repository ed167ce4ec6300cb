#include "Request/Request.h"

namespace Sapphireladder {

std::size_t RoundRobinSelector::select(std::span<const TargetCandidate> candidates,
                                       const RoutingPolicy &, RandomSource &)
{
    return m_next.fetch_add(1, std::memory_order_relaxed) % candidates.size();
}

} // namespace Sapphireladder
