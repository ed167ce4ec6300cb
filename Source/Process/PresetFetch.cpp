#include "Process/Process.h"

#include <algorithm>

namespace Sapphireladder {

void PresetFetch::want(const ActivePreset &inForce, std::optional<Endpoint> from)
{
    const bool corrected = inForce.version == m_wanted.version && !from
                           && inForce.digest != m_wanted.digest;
    if (inForce.version <= m_wanted.version && !corrected)
        return;
    m_wanted = inForce;
    m_from = std::move(from);
    m_failures = 0;
    m_nextAttempt = {};
}

std::optional<FetchStep> PresetFetch::next(PresetVersion applied, std::span<const Endpoint> peers,
                                           TimePoint now, RandomSource &random)
{
    if (m_wanted.version <= applied || now < m_nextAttempt)
        return std::nullopt;
    if (m_inFlight != 0 && now < m_attemptEnd)
        return std::nullopt;
    m_inFlight = m_wanted.version;
    m_attemptEnd = now + attemptLimit;
    FetchStep step{m_wanted, std::nullopt};
    // Store and peers take turns. The peer that told of the version is asked before others.
    if (m_failures % 2 == 1) {
        if (m_failures == 1 && m_from)
            step.peer = m_from;
        else if (!peers.empty())
            step.peer = peers[random.below(peers.size())];
    }
    return step;
}

void PresetFetch::ended(PresetVersion version, bool succeeded, TimePoint now, RandomSource &random)
{
    if (version != m_inFlight)
        return;
    m_inFlight = 0;
    if (succeeded || version != m_wanted.version)
        return;
    ++m_failures;
    // The first peer is asked right after the store has failed.
    if (m_failures == 1)
        return;
    const auto doublings = std::min(m_failures / 2, 5U);
    const auto backoff = std::min<Duration>(minBackoff * (1U << doublings), maxBackoff);
    const double factor = 0.75 + 0.5 * random.unit();
    m_nextAttempt = now + duration_cast<Duration>(backoff * factor);
}

} // namespace Sapphireladder
