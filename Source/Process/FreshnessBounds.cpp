#include "Process/Process.h"

namespace Sapphireladder {

namespace {

// Shares of the bound on change propagation.
constexpr double pollIntervalShare = 0.5;
constexpr double minRecencyGainShare = 0.1;
constexpr double maxRelayedAgeShare = 0.6;
constexpr double maxAgeShare = 0.7;

} // namespace

FreshnessBounds FreshnessBounds::of(Duration maxChangeDelay)
{
    const auto share = [maxChangeDelay](double n) {
        return duration_cast<Duration>(maxChangeDelay * n);
    };
    return {share(pollIntervalShare), share(minRecencyGainShare), share(maxRelayedAgeShare),
            share(maxAgeShare)};
}

} // namespace Sapphireladder
