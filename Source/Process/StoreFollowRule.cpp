#include "Process/Process.h"

#include <algorithm>

namespace Sapphireladder {

void StoreFollowRule::start(bool isFirstStart, TimePoint now)
{
    m_startedAt = now;
    m_firstUpdateDeadline = now + (isFirstStart ? fleetStartTimeout : firstUpdateTimeout);
}

Duration StoreFollowRule::nextLinkBackoff()
{
    return std::exchange(m_linkBackoff, std::min(m_linkBackoff * 2, maxLinkBackoff));
}

StoreFollowMode StoreFollowRule::decide(bool isReader, TimePoint now)
{
    if (!hasRecentUpdate(now)) {
        m_relayedSince.reset();
    } else {
        m_linkBackoff = minLinkBackoff;
        m_relayedSince = m_relayedSince.value_or(now);
    }
    if (isReader || isRequested(now)) {
        m_followsForOthers = m_followsForOthers.value_or(true);
        return StoreFollowMode::FollowClosely;
    }
    if (m_relayedSince) {
        if (!m_followsForOthers.value_or(false) && now - *m_relayedSince < settleTime)
            return StoreFollowMode::Unchanged;
        m_followsForOthers.reset();
        return StoreFollowMode::Stop;
    }
    if (now < m_firstUpdateDeadline)
        return StoreFollowMode::Unchanged;
    m_followsForOthers = false;
    return StoreFollowMode::Follow;
}

Duration StoreFollowRule::timeToNextDecision(Duration usualInterval, TimePoint now) const
{
    if (now < m_firstUpdateDeadline)
        return std::min(usualInterval, m_firstUpdateDeadline - now);
    if (!hasRecentUpdate(now))
        return usualInterval;
    constexpr Duration afterExpiry = std::chrono::milliseconds(1);
    return std::min(usualInterval, *m_completeUntil + m_maxUpdateAge + afterExpiry - now);
}

} // namespace Sapphireladder
