#pragma once

#include "Process/ServiceView.h"
#include "Request/Request.h"

#include <memory>
#include <optional>

namespace Sapphireladder {

/** What the end of an attempt says of the target's health. */
enum class ObservedOutcome : std::uint8_t {
    Good,
    /** The target or something in front of it turned the request away. */
    Rejected,
    Fault,
    /** Says nothing of the target. */
    Neutral,
};

/** @return what an attempt's end says of the target. */
ObservedOutcome observedOutcomeOf(const AttemptResult &result);

/** What a traffic thread learnt of a target from one attempt. */
struct TargetObservation
{
    /** The view that the attempt's target was taken from. */
    std::shared_ptr<const ServiceView> view;
    std::size_t index = 0;
    ObservedOutcome outcome = ObservedOutcome::Neutral;
    /** The target said that it is leaving. */
    bool draining = false;
    std::optional<LoadReport> load;

    const ServiceName &service() const { return view->policy->name; }
    const TargetView &target() const { return view->targets[index]; }
};

} // namespace Sapphireladder
