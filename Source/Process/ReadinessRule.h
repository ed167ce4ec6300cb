#pragma once

#include "Core/Core.h"

#include <optional>
#include <string_view>

namespace Sapphireladder {

/** Inputs of the readiness decision, besides the contacts with store and peers. */
struct ReadinessInputs
{
    bool hasPreset = false;
    /** A higher version than the one applied is known. */
    bool isBehind = false;
    bool isStopping = false;
};

/** Whether this VM should receive requests, and if not, why. */
struct Readiness
{
    bool ready = false;
    /** Empty if ready. */
    std::string_view reason;
};

/** Decides whether the platform's load balancer should send requests to this VM. */
class ReadinessRule
{
public:
    /**
     * @param isolationLimit time without contact to store and peers after which the VM is not ready
     * @param start when the process started
     */
    ReadinessRule(Duration isolationLimit, TimePoint start);

    void recordStoreContact(TimePoint now) { m_lastStoreContact = now; }
    void recordPeerContact(TimePoint now) { m_lastPeerContact = now; }
    /** The active preset's row was read, so the highest accepted version is known. */
    void recordRowRead() { m_hasReadRow = true; }

    Readiness evaluate(const ReadinessInputs &inputs, TimePoint now);
    bool isIsolated(TimePoint now) const;

private:
    const Duration m_isolationLimit;
    const TimePoint m_start;
    std::optional<TimePoint> m_lastStoreContact;
    std::optional<TimePoint> m_lastPeerContact;
    bool m_hasReadRow = false;
    bool m_wasUpToDate = false;
};

} // namespace Sapphireladder
