#pragma once

#include "Process/AdmissionControl.h"
#include "Process/ObservationQueue.h"

#include <memory>
#include <mutex>

namespace Sapphireladder {

/**
 * Admits the requests of one service to its targets. Lives as long as the process. Adds the lock
 * and the waiting to the decisions of AdmissionControl.
 */
class ServiceGate final : public TargetSlotAllocator
{
public:
    /**
     * @param zone availability zone of this VM
     * @param clock outlives the gate
     * @param seed seed for the choice of targets
     * @param observations receives what attempts say of their targets
     */
    ServiceGate(ZoneName zone, const Clock &clock, std::uint64_t seed,
                std::shared_ptr<ObservationQueue> observations);

    /** Replaces the view, and lets waiting requests look at the new one. */
    void publish(std::shared_ptr<const ServiceView> view);

    std::variant<TargetLease, RefusalReason> acquire(const RequestInfo &info,
                                                     std::span<const TargetId> tried) override;
    void release(const TargetLease &lease, const AttemptResult &result) override;
    void cancel(const TargetLease &lease) override;

    /** @return requests that wait for a slot. */
    std::size_t waiting();

private:
    const Clock &m_clock;
    const std::shared_ptr<ObservationQueue> m_observations;
    std::mutex m_mutex;
    AdmissionControl m_control;
};

} // namespace Sapphireladder
