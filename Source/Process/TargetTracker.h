#pragma once

#include "Process/EjectionRule.h"
#include "Process/TargetObservation.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Sapphireladder {

/**
 * Decides the availability of each target from the reports of traffic threads, peers and the VM
 * list. Used by the control thread only. A target is identified by its service and id; its state
 * outlives the preset that lists it.
 */
class TargetTracker
{
public:
    /** How long the state and leaving mark of a target are kept after presets cease to list it. */
    static constexpr Duration absentRetention = std::chrono::hours(1);

    /** @param events must outlive the object */
    explicit TargetTracker(EventSink &events)
        : m_events(events)
    {}

    /**
     * Applies the targets and policies of a preset. Targets that stay keep their load and state,
     * unless their endpoint changed. A target that is added to a known service ramps up.
     */
    void setPreset(const Preset &preset, TimePoint now);

    /** Processes an observation. Ignores those of earlier incarnations of the target. */
    void observe(const TargetObservation &observation, TimePoint now);

    /**
     * Marks a target as leaving. Undone only by markLive() with a newer incarnation, or by a preset
     * with another endpoint for the target.
     * @param incarnation the incarnation that is leaving, or 0 for the current one
     */
    void markLeaving(const ServiceName &service, const TargetId &target, Incarnation incarnation);

    /**
     * Marks a target as live. A newer incarnation resets the target's state: it ramps up, without
     * load and without a leaving mark. The first known incarnation does not reset anything, because
     * a VM list that lags behind may name a target that has already announced that it is leaving.
     */
    void markLive(const ServiceName &service, const TargetId &target, Incarnation incarnation,
                  TimePoint now);

    /** Updates all targets. @return services in which a target's availability changed. */
    std::vector<ServiceName> update(TimePoint now);

    /** @return the targets of a service of the current preset, as of the last update(). */
    std::vector<TargetView> views(const ServicePolicy &policy) const;

private:
    struct TrackedTarget
    {
        std::optional<Endpoint> endpoint;
        std::shared_ptr<TargetLoad> load = std::make_shared<TargetLoad>();
        EjectionState ejection;
        Incarnation incarnation = 0;
        bool leaving = false;
        /** When the target returned or was restarted. Nothing if it was present from the start. */
        std::optional<TimePoint> returnedAt;
        /** When presets ceased to list the target. Nothing while the current one lists it. */
        std::optional<TimePoint> absentSince;
        /** Value of m_presetCount for the last preset that listed the target. */
        std::uint64_t lastListedBy = 0;
        TargetAvailability availability;
    };

    struct TrackedService
    {
        EjectionPolicy policy;
        bool isEjectionSuspended = false;
        std::map<TargetId, TrackedTarget> targets;
    };

    TrackedTarget &trackedTarget(const ServiceName &service, const TargetId &target);
    void setTargets(TrackedService &service, const ServicePolicy &policy, bool isKnown,
                    TimePoint now);
    static void startIncarnation(TrackedTarget &target, TimePoint now);
    /** @return whether the availability of any target changed. */
    bool updateService(const ServiceName &name, TrackedService &service, TimePoint now);
    void evaluateEjections(const ServiceName &name, TrackedService &service, TimePoint now);
    void logAvailabilityChange(const ServiceName &service, const TargetId &target,
                               const TargetAvailability &from, const TargetAvailability &to);

    EventSink &m_events;
    std::map<ServiceName, TrackedService> m_services;
    /** Number of calls of setPreset(). */
    std::uint64_t m_presetCount = 0;
};

} // namespace Sapphireladder
