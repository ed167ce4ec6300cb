#pragma once

#include "Process/AdmissionControl.h"
#include "Process/ObservationQueue.h"

#include <memory>
#include <mutex>

namespace Sapphireladder {

/**
 * Thread-safe, blocking admission of the requests of one service to its targets, on top of
 * AdmissionControl. Lives as long as the process.
 */
class ServiceGate final : public TargetSlotAllocator
{
public:
    /**
     * @param zone availability zone of this VM
     * @param clock must outlive the gate
     * @param seed seed for random target selection
     * @param observations receives the outcomes of attempts
     */
    ServiceGate(ZoneName zone, const Clock &clock, std::uint64_t seed,
                std::shared_ptr<ObservationQueue> observations);

    /** Replaces the view and reconsiders the queued requests. */
    void setView(std::shared_ptr<const ServiceView> view);

    std::variant<TargetLease, RefusalReason> acquire(const RequestInfo &info,
                                                     std::span<const TargetId> tried) override;
    void release(const TargetLease &lease, const AttemptResult &result) override;
    void cancel(const TargetLease &lease) override;

    /** @return number of requests that wait for a slot. */
    std::size_t queueSize();

private:
    const Clock &m_clock;
    const std::shared_ptr<ObservationQueue> m_observations;
    std::mutex m_mutex;
    AdmissionControl m_control;
};

} // namespace Sapphireladder
