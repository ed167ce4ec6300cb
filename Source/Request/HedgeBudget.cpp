#include "Request/Request.h"

namespace Sapphireladder {

HedgeBudget::HedgeBudget(WindowedRetryBudget &retries, const HedgeBudgetPolicy &policy,
                         const Clock &clock)
    : m_retries(retries)
    , m_policy(policy)
    , m_hedges(windowPolicy(policy), clock)
{}

void HedgeBudget::setPolicy(const HedgeBudgetPolicy &policy)
{
    m_policy = policy;
    m_hedges.setPolicy(windowPolicy(policy));
}

std::optional<HedgeDenial> HedgeBudget::denial()
{
    if (m_hedges.availableRetries() < 1.0)
        return HedgeDenial::RatioReached;
    if (!m_retries.hasSpareRetry(m_policy.retryReserve))
        return HedgeDenial::RetryBudgetLow;
    return std::nullopt;
}

void HedgeBudget::take()
{
    m_hedges.takeRetry();
    m_retries.takeRetry();
}

RetryBudgetPolicy HedgeBudget::windowPolicy(const HedgeBudgetPolicy &policy)
{
    constexpr double slack = 0;
    return {policy.ratio, policy.window, slack, 1};
}

} // namespace Sapphireladder
