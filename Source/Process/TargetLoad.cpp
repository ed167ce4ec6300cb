#include "Process/Process.h"

namespace Sapphireladder {

void TargetLoad::begin()
{
    m_ownInFlight.fetch_add(1, std::memory_order_relaxed);
    m_ownSinceReport.fetch_add(1, std::memory_order_relaxed);
}

void TargetLoad::end(const AttemptResult &result, TimePoint now)
{
    m_ownInFlight.fetch_sub(1, std::memory_order_relaxed);
    m_ownSinceReport.fetch_sub(1, std::memory_order_relaxed);
    if (result.load) {
        m_reportedInFlight.store(result.load->inFlight, std::memory_order_relaxed);
        m_ownSinceReport.store(0, std::memory_order_relaxed);
        m_reportedAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    }
    if (std::holds_alternative<Answered>(result.end)) {
        // An eighth of each new value follows shifts within a few answers.
        const auto old = m_serviceTime.load(std::memory_order_relaxed);
        const auto latency = result.latency.count();
        m_serviceTime.store(old == 0 ? latency : old + (latency - old) / 8,
                            std::memory_order_relaxed);
    }
}

void TargetLoad::cancel()
{
    m_ownInFlight.fetch_sub(1, std::memory_order_relaxed);
    m_ownSinceReport.fetch_sub(1, std::memory_order_relaxed);
}

void TargetLoad::describe(TargetCandidate &candidate, TimePoint now) const
{
    candidate.ownInFlight = ownInFlight();
    candidate.reportedInFlight = m_reportedInFlight.load(std::memory_order_relaxed);
    candidate.ownSinceReport = m_ownSinceReport.load(std::memory_order_relaxed);
    candidate.serviceTime = Duration(m_serviceTime.load(std::memory_order_relaxed));
    const auto reportedAt = m_reportedAt.load(std::memory_order_relaxed);
    if (reportedAt != noReport)
        candidate.reportAge = now.time_since_epoch() - Duration(reportedAt);
}

} // namespace Sapphireladder
