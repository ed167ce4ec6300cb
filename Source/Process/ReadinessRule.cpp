#include "Process/Process.h"

#include <algorithm>

namespace Sapphireladder {

ReadinessRule::ReadinessRule(Duration isolationLimit, TimePoint start)
    : m_isolationLimit(isolationLimit)
    , m_start(start)
{}

bool ReadinessRule::isIsolated(TimePoint now) const
{
    const auto last = std::max(m_lastStoreContact.value_or(m_start),
                               m_lastPeerContact.value_or(m_start));
    return now - last >= m_isolationLimit;
}

Readiness ReadinessRule::evaluate(const ReadinessInputs &inputs, TimePoint now)
{
    if (inputs.isStopping)
        return {false, "stopping"};
    if (!inputs.hasPreset)
        return {false, "no preset"};
    // Only a starting VM waits for the newest version; a ready VM stays ready during a switch.
    m_wasUpToDate = m_wasUpToDate || (!inputs.isBehind && (m_hasReadRow || m_lastPeerContact));
    if (!m_wasUpToDate)
        return {false, "newest preset not applied yet"};
    if (isIsolated(now))
        return {false, "isolated from store and peers"};
    return {true, {}};
}

} // namespace Sapphireladder
