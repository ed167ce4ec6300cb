#include "Process/Process.h"

#include <algorithm>

namespace Sapphireladder {

void FollowRule::begin(bool isFirstStart, TimePoint now)
{
    m_firstWordUntil = now + (isFirstStart ? firstStartWordTime : firstWordTime);
}

Duration FollowRule::linkFailed()
{
    return std::exchange(m_linkDelay, std::min(m_linkDelay * 2, longestLinkDelay));
}

FollowMode FollowRule::decide(bool isReader, TimePoint now)
{
    if (!isFed(now)) {
        m_fedSince.reset();
    } else {
        m_linkDelay = firstLinkDelay;
        m_fedSince = m_fedSince.value_or(now);
    }
    if (isReader || now < m_askedUntil)
        return FollowMode::FollowClosely;
    if (m_fedSince)
        return now - *m_fedSince >= settleTime ? FollowMode::Leave : FollowMode::Keep;
    return now >= m_firstWordUntil ? FollowMode::Follow : FollowMode::Keep;
}

Duration FollowRule::nextDecisionIn(Duration usual, TimePoint now) const
{
    return now < m_firstWordUntil ? std::min(usual, m_firstWordUntil - now) : usual;
}

} // namespace Sapphireladder
