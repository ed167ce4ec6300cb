#include "Request/Request.h"

#include <algorithm>
#include <cmath>

namespace Sapphireladder {

unsigned rampedSlots(unsigned slots, double rampWeight)
{
    const auto ramped = static_cast<unsigned>(std::ceil(slots * rampWeight));
    return std::clamp(ramped, 1U, std::max(slots, 1U));
}

void sampleRampingCandidates(std::vector<TargetCandidate> &candidates, RandomSource &random)
{
    std::vector<TargetCandidate> kept;
    for (const auto &it : candidates) {
        if (it.rampWeight >= 1.0 || random.unit() < it.rampWeight)
            kept.push_back(it);
    }
    if (!kept.empty())
        candidates = std::move(kept);
}

} // namespace Sapphireladder
