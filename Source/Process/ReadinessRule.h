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
    std::string_view why;
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

    void storeHeard(TimePoint now) { m_storeHeardAt = now; }
    void peerHeard(TimePoint now) { m_peerHeardAt = now; }
    /** The row of the preset in force was read, so the highest accepted version is known. */
    void rowRead() { m_rowWasRead = true; }

    Readiness judge(const ReadinessInputs &inputs, TimePoint now);
    bool isIsolated(TimePoint now) const;

private:
    const Duration m_isolationLimit;
    const TimePoint m_start;
    std::optional<TimePoint> m_storeHeardAt;
    std::optional<TimePoint> m_peerHeardAt;
    bool m_rowWasRead = false;
    bool m_wasInformed = false;
};

} // namespace Sapphireladder
