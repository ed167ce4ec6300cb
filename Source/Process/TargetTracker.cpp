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

void TargetTracker::setTargets(TrackedService &record, const ServicePolicy &policy, bool isKnown,
                               TimePoint now)
{
    for (const auto &it : policy.targets) {
        auto &target = record.targets[it.id];
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

void TargetTracker::startIncarnation(TrackedTarget &record, TimePoint now)
{
    record.load = std::make_shared<TargetLoad>();
    record.ejection = {};
    record.leaving = false;
    record.returnedAt = now;
}

TargetTracker::TrackedTarget &TargetTracker::recordOf(const ServiceName &service,
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
    auto &record = recordOf(service, target);
    if (incarnation != 0 && incarnation < record.incarnation)
        return;
    record.incarnation = std::max(record.incarnation, incarnation);
    record.leaving = true;
}

void TargetTracker::markLive(const ServiceName &service, const TargetId &target,
                             Incarnation incarnation, TimePoint now)
{
    auto &record = recordOf(service, target);
    if (incarnation <= record.incarnation)
        return;
    if (record.incarnation != 0)
        startIncarnation(record, now);
    record.incarnation = incarnation;
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

bool TargetTracker::updateService(const ServiceName &name, TrackedService &record, TimePoint now)
{
    for (auto &[id, target] : record.targets) {
        // The load object records the draining header even if the observation was dropped.
        target.leaving = target.leaving || target.load->isDraining();
    }
    evaluateEjections(name, record, now);
    const RampRule ramp(record.policy.rampUpTime);
    bool changed = false;
    for (auto &[id, target] : record.targets) {
        if (!target.endpoint || target.absentSince)
            continue;
        const auto returnedAt = std::max(target.returnedAt, target.ejection.reinstatedAt);
        const TargetAvailability availability{
                target.leaving, target.ejection.ejected,
                record.isEjectionSuspended ? 1.0 : ramp.weight(returnedAt, now)};
        if (availability == target.availability)
            continue;
        recordChange(name, id, target.availability, availability);
        target.availability = availability;
        changed = true;
    }
    return changed;
}

void TargetTracker::evaluateEjections(const ServiceName &name, TrackedService &record,
                                      TimePoint now)
{
    std::vector<EjectionState *> states;
    for (auto &[id, target] : record.targets) {
        if (target.endpoint && !target.absentSince && !target.leaving)
            states.push_back(&target.ejection);
    }
    const bool isSuspended = EjectionRule(record.policy).evaluate(states, now);
    if (isSuspended && !record.isEjectionSuspended)
        m_events.record(EventId::EjectionSuspended, {{"service", name.string()}});
    record.isEjectionSuspended = isSuspended;
}

void TargetTracker::recordChange(const ServiceName &service, const TargetId &target,
                                 const TargetAvailability &from, const TargetAvailability &to)
{
    const auto report = [&](EventId id) {
        m_events.record(id, {{"service", service.string()}, {"target", target.string()}});
    };
    if (from.leaving != to.leaving)
        report(to.leaving ? EventId::TargetLeaving : EventId::TargetReturned);
    if (from.ejected != to.ejected)
        report(to.ejected ? EventId::TargetEjected : EventId::TargetReinstated);
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
