#pragma once

#include "Process/TargetObservation.h"
#include "Version/Version.h"

#include <optional>
#include <span>

namespace Sapphireladder {

/** Ejection state of one target. */
struct EjectionState
{
    /** Consecutive faults and rejections since the last good response. */
    unsigned faults = 0;
    /** Ejections without a long healthy period in between. Each doubles the next ejection time. */
    unsigned ejections = 0;
    bool ejected = false;
    TimePoint ejectedUntil{};
    /** When the target was reinstated after an ejection and began to ramp up. */
    std::optional<TimePoint> reinstatedAt;
};

/** Outlier detection: decides which failing targets of a service are ejected. Has no state. */
class EjectionRule
{
public:
    /** @param policy must outlive the rule */
    explicit EjectionRule(const EjectionPolicy &policy)
        : m_policy(policy)
    {}

    /** Updates a target's state with the outcome of an attempt. */
    void observe(EjectionState &state, ObservedOutcome outcome, TimePoint now) const;

    /**
     * Ejects failing targets and reinstates those whose ejection time has passed.
     * @param states all targets of the service that are not leaving
     * @return whether ejection is suspended because most targets are failing. A failure of most
     *         targets at once is more likely on the side of this VM, so none is ejected for it.
     */
    bool evaluate(std::span<EjectionState *const> states, TimePoint now) const;

    /** @return how many of a service's targets may be ejected at the same time. */
    std::size_t ejectionLimit(std::size_t targets) const;
    /** @return duration of the n-th consecutive ejection, counted from 1. */
    Duration ejectionTime(unsigned ejections) const;

private:
    bool isFailing(const EjectionState &state) const;
    void eject(EjectionState &state, TimePoint now) const;
    /** Reinstates a target that is still counted as failing. */
    void reinstateEarly(EjectionState &state) const;

    const EjectionPolicy &m_policy;
};

} // namespace Sapphireladder
