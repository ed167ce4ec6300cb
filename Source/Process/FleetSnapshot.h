#pragma once

#include "Process/RetryBudget.h"
#include "Process/ServiceGate.h"
#include "Version/Version.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace Sapphireladder {

/** What lives as long as the process for one service. */
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

/** What traffic threads read of the control state. One immutable object for each version. */
struct FleetSnapshot
{
    std::shared_ptr<const PresetSnapshot> preset;
    /** Keys point into the preset. */
    std::unordered_map<std::string_view, std::shared_ptr<ServiceState>> services;
};

} // namespace Sapphireladder
