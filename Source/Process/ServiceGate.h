#pragma once

#include "Process/ServiceView.h"
#include "Request/Request.h"

#include <condition_variable>
#include <memory>
#include <mutex>

namespace Sapphireladder {

/** Admits the requests of one service to its targets. Lives as long as the process. */
class ServiceGate final : public TargetGate
{
public:
    /**
     * @param zone availability zone of this VM
     * @param clock outlives the gate
     * @param seed seed for the choice of targets
     */
    ServiceGate(ZoneName zone, const Clock &clock, std::uint64_t seed);

    /** Replaces the view, and lets waiting requests look at the new one. */
    void publish(std::shared_ptr<const ServiceView> view);

    std::variant<TargetLease, RefusalReason> acquire(const RequestInfo &info,
                                                     std::span<const TargetId> tried) override;
    void release(const TargetLease &lease, const AttemptResult &result) override;
    void cancel(const TargetLease &lease) override;

private:
    void wakeWaiter();
    std::optional<TargetLease> tryAcquire(std::span<const TargetId> tried);
    std::vector<TargetCandidate> candidates(std::span<const TargetId> tried) const;

    const ZoneName m_zone;
    const Clock &m_clock;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::shared_ptr<const ServiceView> m_view;
    RandomSource m_random;
    std::size_t m_waiting = 0;
};

} // namespace Sapphireladder
