#pragma once

#include "Process/TargetLoad.h"
#include "Version/Version.h"

#include <memory>
#include <vector>

namespace Sapphireladder {

/** What the control thread holds of a target at the time of a view. */
struct TargetVerdict
{
    bool leaving = false;
    bool ejected = false;
    /** Share of its full load, above 0 and up to 1. */
    double rampWeight = 1.0;

    bool isUsable() const { return !leaving && !ejected; }
    friend bool operator==(const TargetVerdict &, const TargetVerdict &) = default;
};

/** One target of a service in one view. */
struct TargetView
{
    const TargetSpec *spec = nullptr;
    std::shared_ptr<TargetLoad> load;
    TargetVerdict verdict;

    /** A draining mark counts before the control thread has turned it into a verdict. */
    bool isUsable() const { return verdict.isUsable() && !load->isDraining(); }
    /** @return requests that this VM may have in flight at the target. */
    unsigned usableSlots() const { return rampedSlots(spec->slots, verdict.rampWeight); }
};

/** One service in one version of the control state. Immutable but for the loads. */
struct ServiceView
{
    /** Keeps the policy alive. */
    std::shared_ptr<const PresetSnapshot> preset;
    const ServicePolicy *policy = nullptr;
    std::vector<TargetView> targets;
    std::shared_ptr<TargetSelector> selector;
};

} // namespace Sapphireladder
