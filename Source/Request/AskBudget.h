#pragma once

#include "Core/Core.h"

namespace Sapphireladder {

/** Bounds of the questions for a target's load. */
struct AskPolicy
{
    /** Questions a second that this VM may ask one target on average. */
    double perSecond = 1.0;
    /** Seconds' worth of questions that may be asked at once. */
    double burstSeconds = 10.0;
    /** Time until an answer; a later one says nothing of the load now. */
    Duration timeout = std::chrono::milliseconds(150);
};

/**
 * This VM's share of the questions that one target may be asked. The bound holds over all VMs
 * without agreement, since each keeps to its share. Used by one thread.
 */
class AskBudget
{
public:
    /** @param now start of the target's life at this VM */
    explicit AskBudget(TimePoint now)
        : m_refilledAt(now)
    {}

    void setPolicy(const AskPolicy &policy) { m_policy = policy; }
    const AskPolicy &policy() const { return m_policy; }
    /** @return whether a question may be asked. */
    bool allows(TimePoint now) const { return tokens(now) >= 1.0; }
    /** A question is asked. */
    void take(TimePoint now);

private:
    double tokens(TimePoint now) const;

    AskPolicy m_policy;
    double m_tokens = 1.0;
    TimePoint m_refilledAt;
};

} // namespace Sapphireladder
