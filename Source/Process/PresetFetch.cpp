#include "Process/Process.h"

#include <algorithm>

namespace Sapphireladder {

void PresetFetch::setWanted(const ActivePreset &activePreset, std::optional<Endpoint> from)
{
    const bool isCorrection = activePreset.version == m_wanted.version && !from
                              && activePreset.digest != m_wanted.digest;
    if (activePreset.version <= m_wanted.version && !isCorrection)
        return;
    m_wanted = activePreset;
    m_reporter = std::move(from);
    m_failures = 0;
    m_nextAttempt = {};
}

std::optional<FetchAttempt> PresetFetch::nextAttempt(PresetVersion applied,
                                                     std::span<const Endpoint> peers, TimePoint now,
                                                     RandomSource &random)
{
    if (m_wanted.version <= applied || now < m_nextAttempt)
        return std::nullopt;
    if (m_inFlight != 0 && now < m_attemptDeadline)
        return std::nullopt;
    m_inFlight = m_wanted.version;
    m_attemptDeadline = now + attemptTimeout;
    FetchAttempt attempt{m_wanted, std::nullopt};
    // Attempts alternate between store and peers; the peer that reported the version comes first.
    if (m_failures % 2 == 1) {
        if (m_failures == 1 && m_reporter)
            attempt.peer = m_reporter;
        else if (!peers.empty())
            attempt.peer = peers[random.below(peers.size())];
    }
    return attempt;
}

void PresetFetch::recordResult(PresetVersion version, bool succeeded, TimePoint now,
                               RandomSource &random)
{
    if (version != m_inFlight)
        return;
    m_inFlight = 0;
    if (succeeded || version != m_wanted.version)
        return;
    ++m_failures;
    // No backoff before the first peer is tried after a failure of the store.
    if (m_failures == 1)
        return;
    const auto doublings = std::min(m_failures / 2, 5U);
    const auto backoff = std::min<Duration>(minBackoff * (1U << doublings), maxBackoff);
    // Jitter of 25 % spreads the attempts of VMs that failed together.
    const double factor = 0.75 + 0.5 * random.unit();
    m_nextAttempt = now + duration_cast<Duration>(backoff * factor);
}

} // namespace Sapphireladder
