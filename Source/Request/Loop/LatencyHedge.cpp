#include "Request/Loop/RequestLoop.h"

namespace Sapphireladder {

std::optional<Duration> LatencyHedge::plan(const HedgeContext &context, const Route &route)
{
    if (m_isSent || !m_environment.isHedgingEnabled() || !isHedgeable(context))
        return std::nullopt;
    const auto plan = planHedge(HedgePlanPolicy(), context, m_environment.latencies(route));
    if (const auto *denial = std::get_if<HedgeDenial>(&plan)) {
        m_environment.observer().hedgeDenied(*denial);
        return std::nullopt;
    }
    m_start = std::get<HedgeStart>(plan);
    return m_start.delay;
}

bool LatencyHedge::isAllowed(const RequestInfo &info)
{
    const auto denial = m_environment.hedgeBudget(info.service).denial();
    if (denial)
        deny(info, *denial);
    return !denial;
}

bool LatencyHedge::take(const RequestInfo &info, const Workspace *workspace, const TargetId &target)
{
    // Other requests may have used up the budgets during the search.
    if (!isAllowed(info))
        return false;
    const bool needsAllowance = workspace && workspace->isLimited();
    if (needsAllowance && !m_environment.allowances().tryAcquire(*workspace)) {
        deny(info, HedgeDenial::AllowanceUsedUp);
        return false;
    }
    m_holdsAllowance = needsAllowance;
    m_isSent = true;
    m_environment.hedgeBudget(info.service).take();
    m_environment.observer().hedged();
    m_environment.events().record(EventId::RequestHedged,
                                  {{"request", info.id.string()},
                                   {"target", target.string()},
                                   {"delay_ms", std::to_string(toMilliseconds(m_start.delay))},
                                   {"quantile", std::to_string(m_start.quantile)}});
    return true;
}

void LatencyHedge::deny(const RequestInfo &info, HedgeDenial denial)
{
    m_environment.observer().hedgeDenied(denial);
    m_environment.events().record(EventId::RequestHedged,
                                  {{"request", info.id.string()},
                                   {"denied", std::string(nameOf(denial))},
                                   {"delay_ms", std::to_string(toMilliseconds(m_start.delay))},
                                   {"quantile", std::to_string(m_start.quantile)}});
}

void LatencyHedge::ended(const AttemptResult &result, const Workspace *workspace)
{
    if (std::holds_alternative<NotRun>(result.outcome) && std::exchange(m_holdsAllowance, false))
        m_environment.allowances().giveBack(*workspace);
}

void LatencyHedge::recordClosed(std::span<const Attempt> attempts, const Route &route)
{
    if (!m_environment.isHedgingEnabled() || !route.idempotent)
        return;
    const auto now = m_environment.context().clock.now();
    for (const auto &it : attempts) {
        // A hedge has only just started.
        if (!it.isLatencyHedge)
            m_environment.latencies(route).record(
                    duration_cast<Duration>((now - it.sentAt) / it.cost), now);
    }
}

} // namespace Sapphireladder
