#include "Process/ServiceFixture.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

struct TargetTrackerFixture : ServiceFixture
{
    TargetTrackerFixture()
    {
        addTargets(4, 2);
        switchPreset();
    }

    const TargetAvailability &availability(std::size_t target) const
    {
        return view->targets[target].availability;
    }
    unsigned ejectedCount() const
    {
        return std::count_if(view->targets.begin(), view->targets.end(),
                             [](const auto &it) { return it.availability.ejected; });
    }
};

// Guards against a flapping target that fails a share of the requests again and again.
TEST_CASE_FIXTURE(TargetTrackerFixture,
                  "TargetTracker, flapping target, ejects it longer each time and ramps it up")
{
    for (const auto ejection : {1s, 2s, 4s}) {
        observe(0, ObservedOutcome::Fault, 5);
        CHECK(tick());
        CHECK(availability(0).ejected);
        clock.advance(ejection - 1ms);
        CHECK_FALSE(tick());
        clock.advance(1ms);
        CHECK(tick());
        CHECK_FALSE(availability(0).ejected);
        CHECK(availability(0).rampWeight == doctest::Approx(0.1));
        clock.advance(5s);
        tick();
        CHECK(availability(0).rampWeight == doctest::Approx(0.6));
        clock.advance(5s);
        tick();
        CHECK(availability(0).rampWeight == 1.0);
    }
    const EjectionRule rule(policy().ejection);
    CHECK(rule.ejectionTime(100) == policy().ejection.maxEjectionTime);
}

// Guards against publishing a view on each tick or observation.
TEST_CASE_FIXTURE(TargetTrackerFixture,
                  "TargetTracker, good responses between faults, changes nothing")
{
    for (int i = 0; i < 10; ++i) {
        observe(0, ObservedOutcome::Rejected, 4);
        observe(0, ObservedOutcome::Good);
        CHECK_FALSE(tick());
    }
}

// Guards against ejecting every target when the fault lies with this VM.
TEST_CASE_FIXTURE(TargetTrackerFixture, "TargetTracker, most targets fail, suspends ejection")
{
    observe(0, ObservedOutcome::Fault, 5);
    tick();
    CHECK(ejectedCount() == 1);
    observe(1, ObservedOutcome::Fault, 5);
    observe(2, ObservedOutcome::Fault, 5);
    tick();
    CHECK(ejectedCount() == 0);
    CHECK(availability(0).rampWeight == 1.0);
    CHECK(std::count(events.begin(), events.end(), "ejection-suspended jomakhata") == 1);
    observe(2, ObservedOutcome::Good);
    tick();
    CHECK(ejectedCount() == 2);
}

// Guards against new requests to a leaving target that a lagging VM list reports as live.
TEST_CASE_FIXTURE(TargetTrackerFixture,
                  "TargetTracker, draining target, usable only after a restart")
{
    const auto &id = policy().targets[0].id;
    const auto oldView = view;
    targetTracker.markLive(policy().name, id, 5, clock.now());
    targetTracker.observe({oldView, 0, ObservedOutcome::Good, true, {}}, clock.now());
    tick();
    CHECK(availability(0).leaving);
    targetTracker.markLive(policy().name, id, 5, clock.now());
    CHECK_FALSE(tick());
    targetTracker.markLive(policy().name, id, 6, clock.now());
    CHECK(tick());
    CHECK_FALSE(availability(0).leaving);
    CHECK(availability(0).rampWeight == doctest::Approx(0.1));
    targetTracker.observe({oldView, 0, ObservedOutcome::Good, true, {}}, clock.now());
    targetTracker.markLeaving(policy().name, id, 5);
    CHECK_FALSE(tick());
}

// Guards against a draining header that is lost with a dropped observation.
TEST_CASE_FIXTURE(TargetTrackerFixture,
                  "TargetTracker, draining recorded in the load only, marks the target as leaving")
{
    view->targets[0].load->begin();
    view->targets[0].load->end({Answered{}, std::nullopt, true, 1ms}, 2, clock.now());
    CHECK(tick());
    CHECK(availability(0).leaving);
}

// Guards against a preset switch that resets the state of failing, leaving or loaded targets.
TEST_CASE_FIXTURE(TargetTrackerFixture,
                  "TargetTracker, targets that stay in a preset switch, keeps load and state")
{
    observe(0, ObservedOutcome::Fault, 5);
    targetTracker.markLeaving(policy().name, policy().targets[1].id, 1);
    tick();
    const auto before = view;
    addTargets(1, 2);
    switchPreset();
    CHECK(availability(0).ejected);
    CHECK(availability(1).leaving);
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(view->targets[i].load == before->targets[i].load);
    CHECK(availability(4).rampWeight == doctest::Approx(0.1));
    const auto leaving = policy().targets[1];
    policy().targets.erase(policy().targets.begin() + 1);
    switchPreset();
    policy().targets.push_back(leaving);
    switchPreset();
    CHECK(availability(4).leaving);
}

TEST_SUITE_END();
