#pragma once

#include "Core/Core.h"

#include <optional>

namespace Sapphireladder {

/**
 * Whether one incarnation of a target may receive new requests from this VM. Combines what the
 * registry reports with what the target itself states in its responses. Used by one thread.
 */
class TargetEligibility
{
public:
    /** Upper bound for a pause, whatever the target requests. */
    static constexpr Duration maxPause = std::chrono::hours(1);

    /** Sets whether the registry reports the target as draining. */
    void setDraining(bool isDraining) { m_isDraining = isDraining; }
    /** Sets whether the operator evacuated the target's zone. */
    void setEvacuated(bool isEvacuated) { m_isEvacuated = isEvacuated; }
    /**
     * Records that the target announced in a response that it is leaving. This is final for the
     * incarnation: a registry record that still reports it as ready is older.
     * @return whether the announcement is new.
     */
    bool announceLeaving() { return !std::exchange(m_isLeaving, true); }
    /** Records that another target responds at this target's address. */
    void setMisaddressed() { m_isMisaddressed = true; }
    /**
     * Records that the target rejected a request and asked for a pause. Never shortens a pause.
     * @param requested the requested duration; bounded by maxPause
     * @return the duration in effect.
     */
    Duration pause(Duration requested, TimePoint now);

    /** @return whether the target may receive new requests and load probes. */
    bool isUsable(TimePoint now) const { return !isGone() && now >= m_pausedUntil; }
    /** @return when the target may receive requests again, if only a pause prevents them now. */
    std::optional<TimePoint> usableAt(TimePoint now) const;
    bool isDraining() const { return m_isDraining; }
    bool isEvacuated() const { return m_isEvacuated; }
    bool isLeaving() const { return m_isLeaving; }
    bool isMisaddressed() const { return m_isMisaddressed; }
    /** @return whether a later registry record does not carry all of this information. */
    bool hasOwnKnowledge(TimePoint now) const
    {
        return m_isLeaving || m_isMisaddressed || now < m_pausedUntil;
    }

private:
    bool isGone() const { return m_isDraining || m_isEvacuated || m_isLeaving || m_isMisaddressed; }

    bool m_isDraining = false;
    bool m_isEvacuated = false;
    bool m_isLeaving = false;
    bool m_isMisaddressed = false;
    TimePoint m_pausedUntil{};
};

} // namespace Sapphireladder
