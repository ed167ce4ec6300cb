#pragma once

#include "Request/TargetSelector.h"

#include <vector>

namespace Sapphireladder {

/** @return the slots that may be used of a target with this ramp weight, at least 1. */
unsigned rampedSlots(unsigned slots, double rampWeight);

/**
 * Removes each candidate with the probability 1 - rampWeight, for any routing strategy. A returning
 * target is idle and would otherwise win every comparison of load. If none is left, all are kept.
 */
void sampleRampingCandidates(std::vector<TargetCandidate> &candidates, RandomSource &random);

} // namespace Sapphireladder
