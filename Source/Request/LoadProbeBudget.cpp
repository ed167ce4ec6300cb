#include "Request/Request.h"

#include <algorithm>

namespace Sapphireladder {

double LoadProbeBudget::tokens(TimePoint now) const
{
    const double limit = std::max(1.0, m_policy.probesPerSecond * m_policy.burstSeconds);
    return std::min(limit, m_tokens + toSeconds(now - m_refilledAt) * m_policy.probesPerSecond);
}

void LoadProbeBudget::consume(TimePoint now)
{
    m_tokens = tokens(now) - 1.0;
    m_refilledAt = now;
}

} // namespace Sapphireladder
