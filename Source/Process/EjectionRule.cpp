#include "Process/Process.h"

#include <algorithm>
#include <cmath>

namespace Sapphireladder {

void EjectionRule::observe(EjectionState &state, ObservedOutcome outcome, TimePoint now) const
{
    // An outcome that arrives during an ejection belongs to an attempt sent before it.
    if (outcome == ObservedOutcome::Neutral || state.ejected)
        return;
    if (outcome != ObservedOutcome::Good) {
        ++state.faults;
        return;
    }
    state.faults = 0;
    if (now - state.ejectedUntil >= m_policy.maxEjectionTime)
        state.ejections = 0;
}

bool EjectionRule::evaluate(std::span<EjectionState *const> states, TimePoint now) const
{
    for (auto *it : states) {
        if (it->ejected && now >= it->ejectedUntil) {
            it->ejected = false;
            it->faults = 0;
            it->reinstatedAt = now;
        }
    }
    std::vector<EjectionState *> failing;
    std::copy_if(states.begin(), states.end(), std::back_inserter(failing),
                 [this](const auto *it) { return isFailing(*it); });
    if (2 * failing.size() > states.size()) {
        for (auto *it : failing) {
            if (it->ejected)
                reinstateEarly(*it);
        }
        return true;
    }
    // Ejected targets come first, then those with the most faults. Targets beyond the limit stay
    // in use or are reinstated, since the limit falls when the service loses targets.
    std::stable_sort(failing.begin(), failing.end(), [](const auto *a, const auto *b) {
        if (a->ejected != b->ejected)
            return a->ejected;
        return a->ejected ? a->ejectedUntil > b->ejectedUntil : a->faults > b->faults;
    });
    const auto limit = ejectionLimit(states.size());
    for (std::size_t i = 0; i < failing.size(); ++i) {
        if (i < limit && !failing[i]->ejected) {
            eject(*failing[i], now);
        } else if (i >= limit && failing[i]->ejected) {
            reinstateEarly(*failing[i]);
            failing[i]->reinstatedAt = now;
        }
    }
    return false;
}

std::size_t EjectionRule::ejectionLimit(std::size_t targets) const
{
    const auto kept = static_cast<std::size_t>(
            std::ceil(m_policy.minRetainedShare * static_cast<double>(targets)));
    return targets - std::min(kept, targets);
}

Duration EjectionRule::ejectionTime(unsigned ejections) const
{
    auto time = m_policy.baseEjectionTime;
    for (unsigned i = 1; i < ejections && time < m_policy.maxEjectionTime; ++i)
        time *= 2;
    return std::min(time, m_policy.maxEjectionTime);
}

bool EjectionRule::isFailing(const EjectionState &state) const
{
    return state.ejected || state.faults >= m_policy.consecutiveFailures;
}

void EjectionRule::eject(EjectionState &state, TimePoint now) const
{
    ++state.ejections;
    state.ejected = true;
    state.ejectedUntil = now + ejectionTime(state.ejections);
}

void EjectionRule::reinstateEarly(EjectionState &state) const
{
    state.ejected = false;
    // Only a good response shows that the target has recovered.
    state.faults = std::max(state.faults, m_policy.consecutiveFailures);
}

} // namespace Sapphireladder
