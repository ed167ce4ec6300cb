#include "Process/Process.h"

#include <algorithm>

namespace Sapphireladder {

void TargetLoad::begin()
{
    m_ownInFlight.fetch_add(1, std::memory_order_relaxed);
    m_ownSinceReport.fetch_add(1, std::memory_order_relaxed);
}

void TargetLoad::end(const AttemptResult &result, unsigned slots, TimePoint now)
{
    m_ownInFlight.fetch_sub(1, std::memory_order_relaxed);
    m_ownSinceReport.fetch_sub(1, std::memory_order_relaxed);
    if (result.draining)
        m_draining.store(true, std::memory_order_relaxed);
    const auto outcome = observedOutcomeOf(result);
    if (outcome == ObservedOutcome::Rejected || outcome == ObservedOutcome::Fault)
        recordReport(std::max(slots, result.load ? result.load->inFlight : 0), now);
    else if (result.load)
        recordReport(result.load->inFlight, now);
    recordLatency(result);
}

void TargetLoad::recordReport(unsigned inFlight, TimePoint now)
{
    m_reportedInFlight.store(inFlight, std::memory_order_relaxed);
    m_ownSinceReport.store(0, std::memory_order_relaxed);
    m_reportedAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

void TargetLoad::recordLatency(const AttemptResult &result)
{
    const auto old = m_serviceTime.load(std::memory_order_relaxed);
    const auto latency = result.latency.count();
    const auto *unknown = std::get_if<Unknown>(&result.outcome);
    // The timeout is a lower bound of the service time of a request that timed out.
    const bool isLowerBound = unknown && unknown->reason == UnknownReason::ResponseTimeout;
    if (observedOutcomeOf(result) != ObservedOutcome::Good && !(isLowerBound && latency > old))
        return;
    // A weight of 1/8 for each new value follows shifts within a few responses.
    m_serviceTime.store(old == 0 ? latency : old + (latency - old) / 8, std::memory_order_relaxed);
}

void TargetLoad::cancel()
{
    m_ownInFlight.fetch_sub(1, std::memory_order_relaxed);
    m_ownSinceReport.fetch_sub(1, std::memory_order_relaxed);
}

void TargetLoad::fillCandidate(TargetCandidate &candidate, TimePoint now) const
{
    candidate.ownInFlight = ownInFlight();
    candidate.reportedInFlight = m_reportedInFlight.load(std::memory_order_relaxed);
    candidate.ownSinceReport = m_ownSinceReport.load(std::memory_order_relaxed);
    candidate.serviceTime = serviceTime();
    const auto reportedAt = m_reportedAt.load(std::memory_order_relaxed);
    if (reportedAt != noReport)
        candidate.reportAge = now.time_since_epoch() - Duration(reportedAt);
}

} // namespace Sapphireladder
