#pragma once

#include "Core/Core.h"

namespace Sapphireladder {

/** Limits on load probes to one target. */
struct LoadProbePolicy
{
    /** Average rate of probes from this VM to one target. */
    double probesPerSecond = 1.0;
    /** Capacity of the token bucket: the probes of this many seconds may be sent in a burst. */
    double burstSeconds = 10.0;
    /** Time limit for a probe; a later response no longer describes the current load. */
    Duration timeout = std::chrono::milliseconds(150);
};

/**
 * Token bucket for the load probes from this VM to one target. The limit for a target is divided
 * among the VMs in advance, so that it holds without coordination. Used by one thread.
 */
class LoadProbeBudget
{
public:
    /** @param now time at which this VM learnt of the target */
    explicit LoadProbeBudget(TimePoint now)
        : m_refilledAt(now)
    {}

    void setPolicy(const LoadProbePolicy &policy) { m_policy = policy; }
    void addRate(double probesPerSecond) { m_policy.probesPerSecond += probesPerSecond; }
    const LoadProbePolicy &policy() const { return m_policy; }
    /** @return whether a probe may be sent. */
    bool canProbe(TimePoint now) const { return tokens(now) >= 1.0; }
    /** Consumes a token for a probe that is sent. */
    void consume(TimePoint now);

private:
    double tokens(TimePoint now) const;

    LoadProbePolicy m_policy;
    double m_tokens = 1.0;
    TimePoint m_refilledAt;
};

} // namespace Sapphireladder
