#pragma once

#include "Process/ServiceView.h"

#include <span>

namespace Sapphireladder {

/** Estimated capacity and service time of a service's usable targets together. */
struct ServiceEstimate
{
    /** Requests that this VM may have in flight at the same time. */
    unsigned slots = 0;
    /** Requests of this VM in flight. */
    unsigned inFlight = 0;
    /** Expected service time; zero before the first response. */
    Duration serviceTime{};
};

/** @return the estimate over the usable targets. */
ServiceEstimate estimateService(std::span<const TargetView> targets);

/** @return the expected wait behind `ahead` queued requests while all slots are taken. */
Duration expectedWait(const ServiceEstimate &estimate, std::size_t ahead);

/**
 * @param wait expected wait before the request is sent
 * @param remaining time until the request's deadline
 * @return whether a response can be expected before the deadline.
 */
bool canMeetDeadline(const ServiceEstimate &estimate, Duration wait, Duration remaining);

} // namespace Sapphireladder
