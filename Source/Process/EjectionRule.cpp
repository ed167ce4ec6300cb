#include "Process/Process.h"

#include <algorithm>
#include <cmath>

namespace Sapphireladder {

void EjectionRule::observe(EjectionState &state, ObservedOutcome outcome, TimePoint now) const
{
    // What arrives during an ejection was sent before it and has already been judged.
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
            it->returnedAt = now;
        }
    }
    std::vector<EjectionState *> bad;
    std::copy_if(states.begin(), states.end(), std::back_inserter(bad),
                 [this](const auto *it) { return looksBad(*it); });
    if (2 * bad.size() > states.size()) {
        for (auto *it : bad) {
            if (it->ejected)
                reinstateEarly(*it);
        }
        return true;
    }
    // Those that are out come first, then those with the most faults. Positions beyond the limit
    // are in, even where a smaller set of targets has lowered the limit.
    std::stable_sort(bad.begin(), bad.end(), [](const auto *a, const auto *b) {
        if (a->ejected != b->ejected)
            return a->ejected;
        return a->ejected ? a->ejectedUntil > b->ejectedUntil : a->faults > b->faults;
    });
    const auto limit = ejectionLimit(states.size());
    for (std::size_t i = 0; i < bad.size(); ++i) {
        if (i < limit && !bad[i]->ejected) {
            eject(*bad[i], now);
        } else if (i >= limit && bad[i]->ejected) {
            reinstateEarly(*bad[i]);
            bad[i]->returnedAt = now;
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

bool EjectionRule::looksBad(const EjectionState &state) const
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
    // Only a good answer proves that the target is well again.
    state.faults = std::max(state.faults, m_policy.consecutiveFailures);
}

} // namespace Sapphireladder
