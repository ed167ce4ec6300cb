#pragma once

#include "Core/Core.h"

#include <optional>
#include <string_view>

namespace Sapphireladder {

/** What readiness depends on besides contacts. */
struct ReadinessInputs
{
    bool hasPreset = false;
    /** A higher version than the one applied is known. */
    bool isBehind = false;
    bool isStopping = false;
};

/** Whether requests should come here, and why not. */
struct Readiness
{
    bool ready = false;
    /** Empty if ready. */
    std::string_view why;
};

/** Decides whether the platform's balancer should send requests to this VM. */
class ReadinessRule
{
public:
    /**
     * @param isolationLimit time without store and peers after which the VM is not ready
     * @param start time of the process's start
     */
    ReadinessRule(Duration isolationLimit, TimePoint start);

    void storeHeard(TimePoint now) { m_storeHeardAt = now; }
    void peerHeard(TimePoint now) { m_peerHeardAt = now; }
    /** The row in force was read, so the highest accepted version is known. */
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
