#include "Request/Request.h"

#include <algorithm>

namespace Sapphireladder {

Duration TargetEligibility::pause(Duration requested, TimePoint now)
{
    const auto duration = std::clamp(requested, Duration::zero(), maxPause);
    m_pausedUntil = std::max(m_pausedUntil, now + duration);
    return duration;
}

std::optional<TimePoint> TargetEligibility::usableAt(TimePoint now) const
{
    if (isGone() || now >= m_pausedUntil)
        return std::nullopt;
    return m_pausedUntil;
}

} // namespace Sapphireladder
