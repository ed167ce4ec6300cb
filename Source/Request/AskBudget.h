#pragma once

#include "Core/Core.h"

namespace Sapphireladder {

/** Limits on load probes to one target. */
struct AskPolicy
{
    /** Average rate of probes from this VM to one target. */
    double perSecond = 1.0;
    /** Size of the token bucket: probes of this many seconds may be sent at once. */
    double burstSeconds = 10.0;
    /** Time limit for a probe; a later response no longer describes the current load. */
    Duration timeout = std::chrono::milliseconds(150);
};

/**
 * Token bucket for the load probes from this VM to one target. The limit for a target is divided
 * among the VMs in advance, so that it holds without coordination. Used by one thread.
 */
class AskBudget
{
public:
    /** @param now time at which this VM learnt of the target */
    explicit AskBudget(TimePoint now)
        : m_refilledAt(now)
    {}

    void setPolicy(const AskPolicy &policy) { m_policy = policy; }
    const AskPolicy &policy() const { return m_policy; }
    /** @return whether a probe may be sent. */
    bool allows(TimePoint now) const { return tokens(now) >= 1.0; }
    /** Consumes a token for a probe that is sent. */
    void take(TimePoint now);

private:
    double tokens(TimePoint now) const;

    AskPolicy m_policy;
    double m_tokens = 1.0;
    TimePoint m_refilledAt;
};

} // namespace Sapphireladder
