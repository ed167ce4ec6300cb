#include "Request/Request.h"

namespace Sapphireladder {

namespace {

double utilization(const TargetCandidate &candidate)
{
    const unsigned reported = candidate.reportAge ? candidate.reportedInFlight : 0;
    return static_cast<double>(candidate.ownInFlight + reported) / candidate.slots;
}

} // namespace

std::size_t PowerOfTwoSelector::select(std::span<const TargetCandidate> candidates,
                                       const RoutingPolicy &, RandomSource &random)
{
    const auto n = candidates.size();
    const auto first = random.below(n);
    if (n == 1)
        return first;
    const auto second = (first + 1 + random.below(n - 1)) % n;
    return utilization(candidates[second]) < utilization(candidates[first]) ? second : first;
}

} // namespace Sapphireladder
