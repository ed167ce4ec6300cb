#include "Process/Process.h"

#include <iterator>

namespace Sapphireladder {

void HedgeTable::setPolicy(const HedgeBudgetPolicy &policy)
{
    m_policy = policy;
    for (auto &[service, budget] : m_budgets)
        budget.setPolicy(policy);
    if (!isEnabled())
        m_latencies.clear();
}

void HedgeTable::recordLatency(const Route &route, Duration latency)
{
    if (isEnabled() && route.idempotent)
        m_latencies[route.name].record(latency, m_clock.now());
}

HedgeBudget &HedgeTable::budget(const ServiceName &service, WindowedRetryBudget &retries)
{
    return m_budgets.try_emplace(service, retries, m_policy, m_clock).first->second;
}

void HedgeTable::prune()
{
    const auto now = m_clock.now();
    for (auto it = m_latencies.begin(); it != m_latencies.end();)
        it = it->second.isEmpty(now) ? m_latencies.erase(it) : std::next(it);
}

} // namespace Sapphireladder
