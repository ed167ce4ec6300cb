#include "Process/Process.h"

#include <algorithm>

namespace Sapphireladder {

ReadinessRule::ReadinessRule(Duration isolationLimit, TimePoint start)
    : m_isolationLimit(isolationLimit)
    , m_start(start)
{}

bool ReadinessRule::isIsolated(TimePoint now) const
{
    const auto last = std::max(m_storeHeardAt.value_or(m_start), m_peerHeardAt.value_or(m_start));
    return now - last >= m_isolationLimit;
}

Readiness ReadinessRule::judge(const ReadinessInputs &inputs, TimePoint now)
{
    if (inputs.isStopping)
        return {false, "stopping"};
    if (!inputs.hasPreset)
        return {false, "no preset"};
    // Only a starting VM waits for the newest version; a ready VM stays ready during a switch.
    m_wasInformed = m_wasInformed || (!inputs.isBehind && (m_rowWasRead || m_peerHeardAt));
    if (!m_wasInformed)
        return {false, "newest preset not applied yet"};
    if (isIsolated(now))
        return {false, "isolated from store and peers"};
    return {true, {}};
}

} // namespace Sapphireladder
