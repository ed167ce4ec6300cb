#pragma once

#include "Request/Request.h"

#include <string>
#include <unordered_map>

namespace Sapphireladder {

/** What this VM knows for hedging: latencies by route and budgets by service. Used by one thread.
 */
class HedgeTable
{
public:
    /** @param clock outlives the object */
    explicit HedgeTable(const Clock &clock)
        : m_clock(clock)
    {}

    void setPolicy(const HedgeBudgetPolicy &policy);
    bool isEnabled() const { return m_policy.ratio > 0; }
    /** Records the latency of an attempt, divided by the cost of its target. */
    void recordLatency(const Route &route, Duration latency);
    /** @return latencies of the route's attempts. */
    LatencyWindow &latencies(const Route &route) { return m_latencies[route.name]; }
    /** @param retries retry budget of the service; outlives the object */
    HedgeBudget &budget(const ServiceName &service, WindowedRetryBudget &retries);
    /** Drops the latencies of routes without recent requests. */
    void prune();

private:
    const Clock &m_clock;
    HedgeBudgetPolicy m_policy;
    std::unordered_map<std::string, LatencyWindow> m_latencies;
    std::unordered_map<ServiceName, HedgeBudget> m_budgets;
};

} // namespace Sapphireladder
