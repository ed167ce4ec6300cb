#pragma once

#include "Request/TargetSelector.h"

#include <vector>

namespace Sapphireladder {

/** @return the slots that a target with this ramp weight may use, at least 1. */
unsigned rampedSlots(unsigned slots, double rampWeight);

/**
 * Leaves out each ramping candidate with the probability 1 - weight, whatever the strategy. An idle
 * returning target would otherwise win every comparison of load. If none is left, all stay.
 */
void thinRamping(std::vector<TargetCandidate> &candidates, RandomSource &random);

} // namespace Sapphireladder
