#pragma once

#include "Process/EjectionRule.h"
#include "Process/TargetObservation.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Sapphireladder {

/**
 * Decides the verdict for each target from what traffic threads, peers and the VM list say of it.
 * Used by the control thread alone. A target is known by its service and name; what is known of it
 * outlives the preset that lists it.
 */
class TargetSupervisor
{
public:
    /** Time for which a target that no preset lists is remembered, its leaving mark included. */
    static constexpr Duration absentRetention = std::chrono::hours(1);

    /** @param events outlives the supervisor */
    explicit TargetSupervisor(EventSink &events)
        : m_events(events)
    {}

    /**
     * Takes over the targets and policies of a preset. Targets that stay keep their load and
     * verdict. A target that is added to a known service is cold and ramps up.
     */
    void setPreset(const Preset &preset, TimePoint now);

    /** Takes in an observation. One of an earlier life of the target is ignored. */
    void observe(const TargetObservation &observation, TimePoint now);

    /**
     * Notes that a target is leaving. Undone only by markLive() with a newer incarnation.
     * @param incarnation the life that is leaving, or 0 for the current one
     */
    void markLeaving(const ServiceName &service, const TargetId &target, Incarnation incarnation);

    /**
     * Notes that a target is live. A newer incarnation starts a new life: cold, without load, and
     * without a leaving mark. The first incarnation heard of is taken for that of the current life,
     * since a list of VMs that lags may name a target that has already said that it is leaving.
     */
    void markLive(const ServiceName &service, const TargetId &target, Incarnation incarnation,
                  TimePoint now);

    /** Decides anew. @return services whose verdicts have changed since the last call. */
    std::vector<ServiceName> update(TimePoint now);

    /** @return the targets of a service of the current preset, as of the last update(). */
    std::vector<TargetView> views(const ServicePolicy &policy) const;

private:
    struct TargetRecord
    {
        std::optional<Endpoint> endpoint;
        std::shared_ptr<TargetLoad> load = std::make_shared<TargetLoad>();
        EjectionState ejection;
        Incarnation incarnation = 0;
        bool leaving = false;
        /** When the target came back or its life began. Nothing if it was there from the start. */
        std::optional<TimePoint> returnedAt;
        /** When the presets ceased to list the target. Nothing while the preset lists it. */
        std::optional<TimePoint> absentSince;
        /** Number of the last preset that lists the target. */
        std::uint64_t listedIn = 0;
        TargetVerdict verdict;
    };

    struct ServiceRecord
    {
        EjectionPolicy policy;
        bool isEjectionSuspended = false;
        std::map<TargetId, TargetRecord> targets;
    };

    TargetRecord &recordOf(const ServiceName &service, const TargetId &target);
    void setTargets(ServiceRecord &record, const ServicePolicy &policy, bool isKnown,
                    TimePoint now);
    static void startLife(TargetRecord &record, TimePoint now);
    /** @return whether a verdict of the service has changed. */
    bool updateService(const ServiceName &name, ServiceRecord &record, TimePoint now);
    void evaluateEjections(const ServiceName &name, ServiceRecord &record, TimePoint now);
    void recordChange(const ServiceName &service, const TargetId &target, const TargetVerdict &from,
                      const TargetVerdict &to);

    EventSink &m_events;
    std::map<ServiceName, ServiceRecord> m_services;
    /** Number of calls of setPreset(). */
    std::uint64_t m_presets = 0;
};

} // namespace Sapphireladder
