#include "Process/Process.h"

#include <algorithm>
#include <cassert>

namespace Sapphireladder {

ServiceGate::ServiceGate(ZoneName zone, const Clock &clock, std::uint64_t seed)
    : m_zone(std::move(zone))
    , m_clock(clock)
    , m_random(seed)
{}

void ServiceGate::publish(std::shared_ptr<const ServiceView> view)
{
    {
        const std::lock_guard lock(m_mutex);
        m_view = std::move(view);
    }
    m_changed.notify_all();
}

std::variant<TargetLease, RefusalReason> ServiceGate::acquire(const RequestInfo &info,
                                                              std::span<const TargetId> tried)
{
    std::unique_lock lock(m_mutex);
    assert(m_view);
    if (auto lease = tryAcquire(tried))
        return *lease;
    const auto &targets = m_view->targets;
    if (std::none_of(targets.begin(), targets.end(),
                     [](const auto &it) { return it.verdict.isUsable(); }))
        return RefusalReason::NoUsableTarget;
    if (m_waiting >= m_view->policy->queue.capacity)
        return RefusalReason::QueueFull;
    ++m_waiting;
    std::optional<TargetLease> lease;
    const bool acquired = m_changed.wait_until(lock, info.deadline, [&] {
        lease = tryAcquire(tried);
        return lease.has_value();
    });
    --m_waiting;
    if (!acquired)
        return RefusalReason::QueueTimeout;
    return *lease;
}

void ServiceGate::release(const TargetLease &lease, const AttemptResult &result)
{
    const auto view = std::static_pointer_cast<const ServiceView>(lease.owner);
    view->targets[lease.index].load->end(result, m_clock.now());
    wakeWaiter();
}

void ServiceGate::cancel(const TargetLease &lease)
{
    const auto view = std::static_pointer_cast<const ServiceView>(lease.owner);
    view->targets[lease.index].load->cancel();
    wakeWaiter();
}

void ServiceGate::wakeWaiter()
{
    {
        // Taking the lock orders the change before the check of a request that starts to wait.
        const std::lock_guard lock(m_mutex);
    }
    m_changed.notify_one();
}

std::optional<TargetLease> ServiceGate::tryAcquire(std::span<const TargetId> tried)
{
    auto usable = candidates(tried);
    if (usable.empty() && !tried.empty())
        usable = candidates({});
    if (usable.empty())
        return std::nullopt;
    const auto choice = m_view->selector->select(usable, m_view->policy->routing, m_random);
    const auto index = usable[choice].index;
    const auto &target = m_view->targets[index];
    target.load->begin();
    return TargetLease{target.spec, index, m_view};
}

std::vector<TargetCandidate> ServiceGate::candidates(std::span<const TargetId> tried) const
{
    std::vector<TargetCandidate> result;
    const auto now = m_clock.now();
    for (std::size_t i = 0; i < m_view->targets.size(); ++i) {
        const auto &target = m_view->targets[i];
        const bool wasTried = std::find(tried.begin(), tried.end(), target.spec->id) != tried.end();
        if (!target.verdict.isUsable() || wasTried
            || target.load->ownInFlight() >= target.spec->slots)
            continue;
        TargetCandidate candidate;
        candidate.index = i;
        candidate.slots = target.spec->slots;
        candidate.sameZone = target.spec->zone == m_zone;
        candidate.rampWeight = target.verdict.rampWeight;
        target.load->describe(candidate, now);
        result.push_back(candidate);
    }
    return result;
}

} // namespace Sapphireladder
