#pragma once

#include "Process/AdmissionQueue.h"
#include "Process/ServiceEstimate.h"
#include "Process/ServiceView.h"
#include "Process/TargetObservation.h"

#include <memory>
#include <vector>

namespace Sapphireladder {

/**
 * The decisions of a service's gate: which request goes next, to which target, and whether waiting
 * is worth it. Does no locking and no waiting; the time is an argument.
 */
class AdmissionControl
{
public:
    /**
     * @param zone availability zone of this VM
     * @param seed seed for the choice of targets
     */
    AdmissionControl(ZoneName zone, std::uint64_t seed);

    /** Replaces the view and decides anew on the waiting requests. */
    void publish(std::shared_ptr<const ServiceView> view, TimePoint now);
    /** Decides on a request at once or lets it wait, in which case it must live until decided. */
    void arrive(PendingRequest &request, TimePoint now);
    /** Ends the wait of a request whose deadline has come, unless it was decided before. */
    void expire(PendingRequest &request);
    /** Gives a slot back and hands it on. @return what the attempt says of the target. */
    TargetObservation release(const TargetLease &lease, const AttemptResult &result, TimePoint now);

    /** Gives a slot back that no attempt used, and hands it on. */
    void cancel(const TargetLease &lease, TimePoint now);

    std::size_t waiting() const { return m_queue.size(); }

private:
    /** Hands free slots to waiting requests. */
    void dispatch(TimePoint now);
    /** @return why the request must not be sent now, or nothing. */
    std::optional<RefusalReason> refusalOf(const PendingRequest &request, Duration wait,
                                           TimePoint now) const;
    std::optional<TargetLease> takeSlot(std::span<const TargetId> tried, TimePoint now);
    std::vector<TargetCandidate> candidates(std::span<const TargetId> tried, TimePoint now) const;
    bool hasUsableTarget() const;

    const ZoneName m_zone;
    RandomSource m_random;
    std::shared_ptr<const ServiceView> m_view;
    AdmissionQueue m_queue;
};

} // namespace Sapphireladder
