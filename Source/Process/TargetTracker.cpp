#include "Process/Process.h"

#include <algorithm>

namespace Sapphireladder {

void TargetTracker::setPreset(const Preset &preset, TimePoint now)
{
    ++m_presetCount;
    for (const auto &it : preset.services) {
        auto &service = m_services[it.name];
        const bool isKnown = std::any_of(service.targets.begin(), service.targets.end(),
                                         [](const auto &row) { return row.second.endpoint; });
        service.policy = it.ejection;
        setTargets(service, it, isKnown, now);
    }
    for (auto &[name, service] : m_services) {
        for (auto &[id, target] : service.targets) {
            if (target.lastListedBy != m_presetCount && !target.absentSince)
                target.absentSince = now;
        }
    }
}

void TargetTracker::setTargets(TrackedService &service, const ServicePolicy &policy, bool isKnown,
                               TimePoint now)
{
    for (const auto &it : policy.targets) {
        auto &target = service.targets[it.id];
        const bool isAnotherInstance = target.endpoint && *target.endpoint != it.endpoint;
        const bool hasStayed = target.endpoint && !target.absentSince;
        if (isAnotherInstance) {
            startIncarnation(target, now);
            target.incarnation = 0;
        } else if (isKnown && !hasStayed) {
            target.returnedAt = now;
        }
        target.endpoint = it.endpoint;
        target.absentSince.reset();
        target.lastListedBy = m_presetCount;
    }
}

void TargetTracker::startIncarnation(TrackedTarget &target, TimePoint now)
{
    target.load = std::make_shared<TargetLoad>();
    target.ejection = {};
    target.leaving = false;
    target.returnedAt = now;
}

TargetTracker::TrackedTarget &TargetTracker::trackedTarget(const ServiceName &service,
                                                           const TargetId &target)
{
    return m_services[service].targets[target];
}

void TargetTracker::observe(const TargetObservation &observation, TimePoint now)
{
    const auto service = m_services.find(observation.service());
    if (service == m_services.end())
        return;
    const auto it = service->second.targets.find(observation.target().spec->id);
    // Each incarnation has its own load object.
    if (it == service->second.targets.end() || it->second.load != observation.target().load)
        return;
    auto &target = it->second;
    target.leaving = target.leaving || observation.draining;
    EjectionRule(service->second.policy).observe(target.ejection, observation.outcome, now);
}

void TargetTracker::markLeaving(const ServiceName &service, const TargetId &target,
                                Incarnation incarnation)
{
    auto &tracked = trackedTarget(service, target);
    if (incarnation != 0 && incarnation < tracked.incarnation)
        return;
    tracked.incarnation = std::max(tracked.incarnation, incarnation);
    tracked.leaving = true;
}

void TargetTracker::markLive(const ServiceName &service, const TargetId &target,
                             Incarnation incarnation, TimePoint now)
{
    auto &tracked = trackedTarget(service, target);
    if (incarnation <= tracked.incarnation)
        return;
    if (tracked.incarnation != 0)
        startIncarnation(tracked, now);
    tracked.incarnation = incarnation;
}

std::vector<ServiceName> TargetTracker::update(TimePoint now)
{
    std::vector<ServiceName> changed;
    for (auto &[name, service] : m_services) {
        std::erase_if(service.targets, [now](const auto &row) {
            const auto &since = row.second.absentSince;
            return since && now - *since >= absentRetention;
        });
        if (updateService(name, service, now))
            changed.push_back(name);
    }
    return changed;
}

bool TargetTracker::updateService(const ServiceName &name, TrackedService &service, TimePoint now)
{
    for (auto &[id, target] : service.targets) {
        // The load object records the draining header even if the observation was dropped.
        target.leaving = target.leaving || target.load->isDraining();
    }
    evaluateEjections(name, service, now);
    const RampRule ramp(service.policy.rampUpTime);
    bool changed = false;
    for (auto &[id, target] : service.targets) {
        if (!target.endpoint || target.absentSince)
            continue;
        const auto returnedAt = std::max(target.returnedAt, target.ejection.reinstatedAt);
        const TargetAvailability availability{
                target.leaving, target.ejection.ejected,
                service.isEjectionSuspended ? 1.0 : ramp.weight(returnedAt, now)};
        if (availability == target.availability)
            continue;
        logAvailabilityChange(name, id, target.availability, availability);
        target.availability = availability;
        changed = true;
    }
    return changed;
}

void TargetTracker::evaluateEjections(const ServiceName &name, TrackedService &service,
                                      TimePoint now)
{
    std::vector<EjectionState *> states;
    for (auto &[id, target] : service.targets) {
        if (target.endpoint && !target.absentSince && !target.leaving)
            states.push_back(&target.ejection);
    }
    const bool isSuspended = EjectionRule(service.policy).evaluate(states, now);
    if (isSuspended && !service.isEjectionSuspended)
        m_events.record(EventId::EjectionSuspended, {{"service", name.string()}});
    service.isEjectionSuspended = isSuspended;
}

void TargetTracker::logAvailabilityChange(const ServiceName &service, const TargetId &target,
                                          const TargetAvailability &from,
                                          const TargetAvailability &to)
{
    const auto log = [&](EventId id) {
        m_events.record(id, {{"service", service.string()}, {"target", target.string()}});
    };
    if (from.leaving != to.leaving)
        log(to.leaving ? EventId::TargetLeaving : EventId::TargetReturned);
    if (from.ejected != to.ejected)
        log(to.ejected ? EventId::TargetEjected : EventId::TargetReinstated);
}

std::vector<TargetView> TargetTracker::views(const ServicePolicy &policy) const
{
    std::vector<TargetView> result;
    const auto &targets = m_services.at(policy.name).targets;
    for (const auto &it : policy.targets) {
        const auto &target = targets.at(it.id);
        result.push_back({&it, target.load, target.availability});
    }
    return result;
}

} // namespace Sapphireladder
