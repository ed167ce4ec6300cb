#include "Process/Process.h"

namespace Sapphireladder {

double RampRule::weight(std::optional<TimePoint> returnedAt, TimePoint now) const
{
    if (!returnedAt || now - *returnedAt >= m_rampUpTime)
        return 1.0;
    const auto step = (now - *returnedAt) * steps / m_rampUpTime;
    return static_cast<double>(step + 1) / steps;
}

} // namespace Sapphireladder
