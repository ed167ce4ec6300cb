#pragma once

#include "Request/Reasons.h"
#include "Request/WindowedRetryBudget.h"

#include <optional>

namespace Sapphireladder {

/** Limits on a service's hedges. */
struct HedgeBudgetPolicy
{
    /** Hedges per request; zero turns hedging off. */
    double ratio = 0;
    /** Sliding window in which requests and hedges are counted. */
    Duration window = std::chrono::seconds(10);
    /** Share of the retry budget that hedges leave to retries. */
    double retryReserve = 0.5;
};

/**
 * This VM's share of the hedges of one service. The ratio counts the VM's own requests, so that it
 * holds for all VMs together. A hedge is an additional arrival at the service and is therefore
 * taken from the retry budget too. Used by one thread.
 */
class HedgeBudget
{
public:
    /** @param retries retry budget of the service; outlives the object, as the clock does */
    HedgeBudget(WindowedRetryBudget &retries, const HedgeBudgetPolicy &policy, const Clock &clock);

    void setPolicy(const HedgeBudgetPolicy &policy);
    void recordRequest() { m_hedges.recordFirstAttempt(); }
    /** @return why no hedge may be sent now, or nothing. */
    std::optional<HedgeDenial> denial();
    /** Takes one hedge. Only after denial() has returned nothing. */
    void take();

private:
    static RetryBudgetPolicy windowPolicy(const HedgeBudgetPolicy &policy);

    WindowedRetryBudget &m_retries;
    HedgeBudgetPolicy m_policy;
    WindowedRetryBudget m_hedges;
};

} // namespace Sapphireladder
