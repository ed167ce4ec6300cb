#include "Process/Process.h"

#include <algorithm>

namespace Sapphireladder {

RetryBudget::RetryBudget(const RetryPolicy &policy)
    : m_policy(policy)
    , m_tokens(policy.burst)
{}

void RetryBudget::setPolicy(const RetryPolicy &policy)
{
    const std::lock_guard lock(m_mutex);
    m_policy = policy;
    m_tokens = std::min(m_tokens, static_cast<double>(policy.burst));
}

void RetryBudget::recordFirstAttempt()
{
    const std::lock_guard lock(m_mutex);
    m_tokens = std::min(m_tokens + m_policy.budgetRatio, static_cast<double>(m_policy.burst));
}

bool RetryBudget::takeRetry()
{
    const std::lock_guard lock(m_mutex);
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

} // namespace Sapphireladder
