#pragma once

#include "Process/RetryBudget.h"
#include "Process/ServiceGate.h"
#include "Version/Version.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace Sapphireladder {

/** State of one service that lives as long as the process. */
struct ServiceState
{
    ServiceState(const ZoneName &zone, const Clock &clock, std::uint64_t seed,
                 const RetryPolicy &retry, std::shared_ptr<ObservationQueue> observations)
        : gate(zone, clock, seed, std::move(observations))
        , budget(retry)
    {}

    ServiceGate gate;
    RetryBudget budget;
};

/** The part of the control state that traffic threads read. Immutable; replaced as a whole. */
struct FleetSnapshot
{
    std::shared_ptr<const PresetSnapshot> preset;
    /** Keys reference names in the preset. */
    std::unordered_map<std::string_view, std::shared_ptr<ServiceState>> services;
};

} // namespace Sapphireladder
