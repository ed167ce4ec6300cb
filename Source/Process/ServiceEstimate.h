#pragma once

#include "Process/ServiceView.h"

#include <span>

namespace Sapphireladder {

/** What this VM expects of a service's usable targets together. */
struct ServiceEstimate
{
    /** Slots that this VM may use at the same time. */
    unsigned slots = 0;
    /** Requests of this VM that no target has answered. */
    unsigned inFlight = 0;
    /** Expected service time; zero while no answer was seen. */
    Duration serviceTime{};
};

/** @return the estimate over the usable targets. */
ServiceEstimate estimateService(std::span<const TargetView> targets);

/** @return the expected wait for a slot behind `ahead` waiting requests while all slots are taken.
 */
Duration expectedWait(const ServiceEstimate &estimate, std::size_t ahead);

/**
 * Judges whether an answer can be expected in time.
 * @param estimate the service
 * @param wait expected wait before the request is sent
 * @param remaining time until the request's deadline
 */
bool isReachable(const ServiceEstimate &estimate, Duration wait, Duration remaining);

} // namespace Sapphireladder
