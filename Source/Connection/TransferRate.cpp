#include "Connection/Connection.h"

#include <algorithm>

namespace Sapphireladder {

bool TransferRate::isTooSlow(TimePoint now) const
{
    const auto elapsed = now - m_startedAt;
    if (elapsed < m_policy.grace)
        return false;
    const auto expected = toSeconds(elapsed) * static_cast<double>(m_policy.minBytesPerSecond);
    return static_cast<double>(m_bytes) < expected;
}

Duration TransferRate::timeUntilCheck(TimePoint now) const
{
    return std::max(m_startedAt + m_policy.grace - now, m_policy.checkInterval);
}

} // namespace Sapphireladder
