#include "Process/Process.h"

#include <condition_variable>

namespace Sapphireladder {

namespace {

/** A request with its own condition variable, so that a decision wakes only its own thread. */
class BlockedRequest final : public PendingRequest
{
public:
    using PendingRequest::PendingRequest;

    /** Waits for the decision until the deadline. Called with the gate's lock held. */
    void wait(std::unique_lock<std::mutex> &lock)
    {
        m_decided.wait_until(lock, deadline(), [this] { return decision().has_value(); });
    }

private:
    // Called with the gate's lock held, so the waiting thread cannot destroy the object yet.
    void onDecided() override { m_decided.notify_one(); }

    std::condition_variable m_decided;
};

} // namespace

ServiceGate::ServiceGate(ZoneName zone, const Clock &clock, std::uint64_t seed,
                         std::shared_ptr<ObservationQueue> observations)
    : m_clock(clock)
    , m_observations(std::move(observations))
    , m_control(std::move(zone), seed)
{}

void ServiceGate::setView(std::shared_ptr<const ServiceView> view)
{
    const std::lock_guard lock(m_mutex);
    m_control.setView(std::move(view), m_clock.now());
}

std::variant<TargetLease, RefusalReason> ServiceGate::acquire(const RequestInfo &info,
                                                              std::span<const TargetId> tried)
{
    BlockedRequest request(info, tried);
    std::unique_lock lock(m_mutex);
    m_control.admit(request, m_clock.now());
    request.wait(lock);
    m_control.expire(request);
    return *request.decision();
}

void ServiceGate::release(const TargetLease &lease, const AttemptResult &result)
{
    std::unique_lock lock(m_mutex);
    auto observation = m_control.release(lease, result, m_clock.now());
    lock.unlock();
    m_observations->push(std::move(observation));
}

void ServiceGate::cancel(const TargetLease &lease)
{
    const std::lock_guard lock(m_mutex);
    m_control.cancel(lease, m_clock.now());
}

std::size_t ServiceGate::queueSize()
{
    const std::lock_guard lock(m_mutex);
    return m_control.queueSize();
}

} // namespace Sapphireladder
