#pragma once

#include "Process/ServiceView.h"
#include "Request/Request.h"

#include <memory>
#include <optional>

namespace Sapphireladder {

/** What the outcome of an attempt shows about the target's health. */
enum class ObservedOutcome : std::uint8_t {
    Good,
    /** The target or an intermediary rejected the request. */
    Rejected,
    Fault,
    /** No evidence either way. */
    Neutral,
};

/** Classifies the result of an attempt. */
ObservedOutcome observedOutcomeOf(const AttemptResult &result);

/** What one attempt showed about its target, reported by a traffic thread. */
struct TargetObservation
{
    /** The view from which the target was selected. */
    std::shared_ptr<const ServiceView> view;
    std::size_t index = 0;
    ObservedOutcome outcome = ObservedOutcome::Neutral;
    /** The target announced that it is leaving. */
    bool draining = false;
    std::optional<LoadReport> load;

    const ServiceName &service() const { return view->policy->name; }
    const TargetView &target() const { return view->targets[index]; }
};

} // namespace Sapphireladder
