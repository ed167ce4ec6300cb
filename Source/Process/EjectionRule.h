#pragma once

#include "Process/TargetObservation.h"
#include "Version/Version.h"

#include <optional>
#include <span>

namespace Sapphireladder {

/** What the ejection rule remembers of one target. */
struct EjectionState
{
    /** Faults and rejections since the last good answer. */
    unsigned faults = 0;
    /** Ejections without a long good time between them. Each doubles the time of the next one. */
    unsigned ejections = 0;
    bool ejected = false;
    TimePoint ejectedUntil{};
    /** When the target began to return to its full share after an ejection. */
    std::optional<TimePoint> returnedAt;
};

/** Decides which targets of a service are left out because they fail. Pure; the state is outside.
 */
class EjectionRule
{
public:
    /** @param policy outlives the rule */
    explicit EjectionRule(const EjectionPolicy &policy)
        : m_policy(policy)
    {}

    /** Takes an attempt's outcome into a target's state. */
    void observe(EjectionState &state, ObservedOutcome outcome, TimePoint now) const;

    /**
     * Ejects and reinstates.
     * @param states all targets of the service that are not leaving
     * @return whether ejection is suspended, since most targets look bad. A fault that most targets
     *         show at once lies rather between them and this VM, so none is left out for it.
     */
    bool evaluate(std::span<EjectionState *const> states, TimePoint now) const;

    /** @return how many of a number of targets may be ejected at the same time. */
    std::size_t ejectionLimit(std::size_t targets) const;
    /** @return how long the n-th ejection in a row lasts, counted from 1. */
    Duration ejectionTime(unsigned ejections) const;

private:
    bool looksBad(const EjectionState &state) const;
    void eject(EjectionState &state, TimePoint now) const;
    /** Lets the target back in, although it still looks bad. */
    void reinstateEarly(EjectionState &state) const;

    const EjectionPolicy &m_policy;
};

} // namespace Sapphireladder
