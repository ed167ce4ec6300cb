#pragma once

#include "Process/AdmissionQueue.h"
#include "Process/ServiceEstimate.h"
#include "Process/ServiceView.h"
#include "Process/TargetObservation.h"

#include <memory>
#include <vector>

namespace Sapphireladder {

/**
 * Admission decisions for one service: which request is sent next, to which target, and whether a
 * request can still meet its deadline after queueing. Takes the time as an argument and neither
 * locks nor blocks; ServiceGate adds both.
 */
class AdmissionControl
{
public:
    /**
     * @param zone availability zone of this VM
     * @param seed seed for random target selection
     */
    AdmissionControl(ZoneName zone, std::uint64_t seed);

    /** Replaces the view and reconsiders the queued requests. */
    void setView(std::shared_ptr<const ServiceView> view, TimePoint now);
    /** Decides on a request or queues it. A queued request must outlive its decision. */
    void admit(PendingRequest &request, TimePoint now);
    /** Refuses a queued request whose deadline has passed, unless it was already decided. */
    void expire(PendingRequest &request);
    /** Releases a slot and reassigns it. @return what the attempt shows about the target. */
    TargetObservation release(const TargetLease &lease, const AttemptResult &result, TimePoint now);

    /** Releases a slot that no attempt used, and reassigns it. */
    void cancel(const TargetLease &lease, TimePoint now);

    std::size_t queueSize() const { return m_queue.size(); }

private:
    /** Assigns free slots to queued requests. */
    void dispatch(TimePoint now);
    /** @return why the request must be refused now, or nothing. */
    std::optional<RefusalReason> refusalReason(const PendingRequest &request, Duration wait,
                                               TimePoint now) const;
    /**
     * Selects a target with a free slot and takes the slot. Selects a target that was already tried
     * only if no other one has a free slot.
     * @return the lease, or nothing if all slots are taken.
     */
    std::optional<TargetLease> takeSlot(std::span<const TargetId> tried, TimePoint now);
    /** @return the usable targets that have a free slot and were not tried. */
    std::vector<TargetCandidate> candidates(std::span<const TargetId> tried, TimePoint now) const;
    bool hasUsableTarget() const;

    const ZoneName m_zone;
    RandomSource m_random;
    std::shared_ptr<const ServiceView> m_view;
    AdmissionQueue m_queue;
};

} // namespace Sapphireladder
