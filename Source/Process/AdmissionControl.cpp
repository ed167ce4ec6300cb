#include "Process/Process.h"

#include <algorithm>
#include <cassert>

namespace Sapphireladder {

AdmissionControl::AdmissionControl(ZoneName zone, std::uint64_t seed)
    : m_zone(std::move(zone))
    , m_random(seed)
{}

void AdmissionControl::setView(std::shared_ptr<const ServiceView> view, TimePoint now)
{
    m_view = std::move(view);
    m_queue.setPolicy(m_view->policy->queue);
    dispatch(now);
}

void AdmissionControl::admit(PendingRequest &request, TimePoint now)
{
    assert(m_view);
    if (!hasUsableTarget()) {
        request.decide(RefusalReason::NoUsableTarget);
        return;
    }
    if (m_queue.isEmpty()) {
        if (const auto reason = refusalReason(request, Duration::zero(), now)) {
            request.decide(*reason);
            return;
        }
        if (auto lease = takeSlot(request.tried(), now)) {
            request.decide(std::move(*lease));
            return;
        }
    }
    const auto wait = expectedWait(estimateService(m_view->targets),
                                   m_queue.queuedAhead(request.requestClass()));
    if (const auto reason = refusalReason(request, wait, now))
        request.decide(*reason);
    else if (!m_queue.push(request))
        request.decide(RefusalReason::QueueFull);
    else
        dispatch(now);
}

void AdmissionControl::expire(PendingRequest &request)
{
    if (request.decision())
        return;
    m_queue.remove(request);
    request.decide(RefusalReason::QueueTimeout);
}

TargetObservation AdmissionControl::release(const TargetLease &lease, const AttemptResult &result,
                                            TimePoint now)
{
    auto view = std::static_pointer_cast<const ServiceView>(lease.owner);
    view->targets[lease.index].load->end(result, lease.target->slots, now);
    dispatch(now);
    return {std::move(view), lease.index, observedOutcomeOf(result), result.draining, result.load};
}

void AdmissionControl::cancel(const TargetLease &lease, TimePoint now)
{
    const auto view = std::static_pointer_cast<const ServiceView>(lease.owner);
    view->targets[lease.index].load->cancel();
    dispatch(now);
}

void AdmissionControl::dispatch(TimePoint now)
{
    if (!hasUsableTarget()) {
        m_queue.refuseAll(RefusalReason::NoUsableTarget);
        return;
    }
    while (auto *request = m_queue.front()) {
        if (now >= request->deadline()) {
            expire(*request);
        } else if (const auto reason = refusalReason(*request, Duration::zero(), now)) {
            m_queue.remove(*request);
            request->decide(*reason);
        } else if (auto lease = takeSlot(request->tried(), now)) {
            m_queue.popFront();
            request->decide(std::move(*lease));
        } else {
            return;
        }
    }
}

std::optional<RefusalReason> AdmissionControl::refusalReason(const PendingRequest &request,
                                                             Duration wait, TimePoint now) const
{
    const auto remaining = request.deadline() - now;
    if (canMeetDeadline(estimateService(m_view->targets), wait, remaining))
        return std::nullopt;
    return RefusalReason::DeadlineUnreachable;
}

std::optional<TargetLease> AdmissionControl::takeSlot(std::span<const TargetId> tried,
                                                      TimePoint now)
{
    auto usable = candidates(tried, now);
    if (usable.empty() && !tried.empty())
        usable = candidates({}, now);
    if (usable.empty())
        return std::nullopt;
    sampleRampingCandidates(usable, m_random);
    const auto choice = m_view->selector->select(usable, m_view->policy->routing, m_random);
    const auto index = usable[choice].index;
    const auto &target = m_view->targets[index];
    target.load->begin();
    return TargetLease{target.spec, index, m_view};
}

std::vector<TargetCandidate> AdmissionControl::candidates(std::span<const TargetId> tried,
                                                          TimePoint now) const
{
    std::vector<TargetCandidate> result;
    for (std::size_t i = 0; i < m_view->targets.size(); ++i) {
        const auto &target = m_view->targets[i];
        const bool wasTried = std::find(tried.begin(), tried.end(), target.spec->id) != tried.end();
        if (wasTried || !target.isUsable() || target.load->ownInFlight() >= target.usableSlots())
            continue;
        TargetCandidate candidate;
        candidate.index = i;
        candidate.slots = target.usableSlots();
        candidate.isInSameZone = target.spec->zone == m_zone;
        candidate.rampWeight = target.availability.rampWeight;
        target.load->fillCandidate(candidate, now);
        result.push_back(candidate);
    }
    return result;
}

bool AdmissionControl::hasUsableTarget() const
{
    return std::any_of(m_view->targets.begin(), m_view->targets.end(),
                       [](const auto &it) { return it.isUsable(); });
}

} // namespace Sapphireladder
