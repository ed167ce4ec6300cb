#include "Testbed/Testbed.h"

namespace Sapphireladder::Testbed {

void NoisyNeighbour::setOptions(const NoiseOptions &options, TimePoint now)
{
    m_options = options;
    m_inBurst = false;
    m_nextChange = options.share > 0 ? now : TimePoint::max();
}

unsigned NoisyNeighbour::occupiedSlots(unsigned slots, TimePoint now)
{
    advance(now);
    return m_inBurst ? static_cast<unsigned>(m_options.share * slots) : 0;
}

void NoisyNeighbour::advance(TimePoint now)
{
    // A minimum duration bounds the number of iterations when the configured times are tiny.
    constexpr Duration minDuration = std::chrono::milliseconds(1);
    while (m_nextChange <= now) {
        m_inBurst = !m_inBurst;
        const auto mean = toSeconds(m_inBurst ? m_options.burst : m_options.gap);
        m_nextChange += std::max(minDuration, fromSeconds(mean * (0.5 + m_random.unit())));
    }
}

} // namespace Sapphireladder::Testbed
