#pragma once

#include "Process/TargetLoad.h"
#include "Version/Version.h"

#include <memory>
#include <vector>

namespace Sapphireladder {

/** Availability of a target, as decided by the control thread. */
struct TargetAvailability
{
    bool leaving = false;
    bool ejected = false;
    /** Share of its full load that the target receives during slow start, above 0 and up to 1. */
    double rampWeight = 1.0;

    bool isUsable() const { return !leaving && !ejected; }
    friend bool operator==(const TargetAvailability &, const TargetAvailability &) = default;
};

/** One target of a service in one view. */
struct TargetView
{
    const TargetSpec *spec = nullptr;
    std::shared_ptr<TargetLoad> load;
    TargetAvailability availability;

    /** A draining header takes effect here before the control thread has processed it. */
    bool isUsable() const { return availability.isUsable() && !load->isDraining(); }
    /** @return requests that this VM may have in flight at the target. */
    unsigned usableSlots() const { return rampedSlots(spec->slots, availability.rampWeight); }
};

/** One published state of a service. Immutable except for the target loads. */
struct ServiceView
{
    /** Owns the policy. */
    std::shared_ptr<const PresetSnapshot> preset;
    const ServicePolicy *policy = nullptr;
    std::vector<TargetView> targets;
    std::shared_ptr<TargetSelector> selector;
};

} // namespace Sapphireladder
