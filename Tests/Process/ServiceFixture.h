#pragma once

#include "Process/Process.h"

#include <memory>
#include <string>
#include <vector>

namespace Sapphireladder {

/** One service on a manual clock, with its admission control and target tracker. */
struct ServiceFixture : EventSink
{
    /** A request with a stable address for the lifetime of the fixture. */
    struct Request
    {
        Request(RequestClass requestClass, TimePoint deadline)
        {
            info.requestClass = requestClass;
            info.deadline = deadline;
        }

        const TargetLease *lease() const
        {
            return pending.decision() ? std::get_if<TargetLease>(&*pending.decision()) : nullptr;
        }
        bool isRefused(RefusalReason reason) const
        {
            return pending.decision() && !lease()
                   && std::get<RefusalReason>(*pending.decision()) == reason;
        }
        std::string target() const { return lease() ? lease()->target->id.string() : ""; }

        RequestInfo info;
        PendingRequest pending{info, {}};
    };

    ServiceFixture() { preset.services.emplace_back().name = ServiceName("jomakhata"); }

    ServicePolicy &policy() { return preset.services.front(); }

    void addTargets(unsigned count, unsigned slots)
    {
        for (unsigned i = 0; i < count; ++i) {
            const auto n = std::to_string(policy().targets.size() + 1);
            policy().targets.push_back({TargetId("t" + n), {"127.0.0.1", 1}, ZoneName("a"), slots});
            policy().targets.back().endpoint.host.back() = n.back();
        }
    }

    /** Applies the current content of the preset as a new version. */
    void switchPreset()
    {
        snapshot = PresetSnapshot::create(++version, ContentDigest("d"), preset).value();
        targetTracker.setPreset(snapshot->preset(), clock.now());
        targetTracker.update(clock.now());
        publish();
    }

    /** Simulates a tick of the control thread. @return whether a new view was published. */
    bool tick()
    {
        const bool changed = !targetTracker.update(clock.now()).empty();
        if (changed)
            publish();
        return changed;
    }

    void publish()
    {
        auto next = std::make_shared<ServiceView>();
        next->preset = snapshot;
        next->policy = snapshot->findService("jomakhata");
        next->targets = targetTracker.views(*next->policy);
        next->selector = findRoutingStrategy(next->policy->routing.strategy)->create();
        view = next;
        admission.setView(view, clock.now());
    }

    Request &arrive(RequestClass requestClass = RequestClass::Urgent,
                    Duration timeout = defaultTimeout)
    {
        auto &request = *requests.emplace_back(
                std::make_unique<Request>(requestClass, clock.now() + timeout));
        admission.admit(request.pending, clock.now());
        return request;
    }

    void finish(const Request &request, const AttemptResult &result)
    {
        targetTracker.observe(admission.release(*request.lease(), result, clock.now()),
                              clock.now());
    }

    void finish(const Request &request) { finish(request, answered()); }

    /** Reports an outcome to the target tracker without a request. */
    void observe(std::size_t target, ObservedOutcome outcome, unsigned times = 1)
    {
        for (unsigned i = 0; i < times; ++i)
            targetTracker.observe({view, target, outcome, false, {}}, clock.now());
    }

    static AttemptResult answered(Duration latency = std::chrono::milliseconds(10))
    {
        return {Answered{{200, {}, ""}}, std::nullopt, false, latency};
    }

    void record(EventId id, std::span<const EventField> fields) override
    {
        events.push_back(std::string(describeEvent(id).name) + " " + fields.back().value);
    }

    static constexpr Duration defaultTimeout = std::chrono::seconds(2);
    ManualClock clock;
    Preset preset;
    PresetVersion version = 0;
    std::shared_ptr<const PresetSnapshot> snapshot;
    std::shared_ptr<const ServiceView> view;
    std::vector<std::string> events;
    TargetTracker targetTracker{*this};
    std::vector<std::unique_ptr<Request>> requests;
    AdmissionControl admission{ZoneName("a"), 7};
};

} // namespace Sapphireladder
