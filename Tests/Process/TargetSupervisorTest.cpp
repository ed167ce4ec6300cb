#include "Process/ServiceFixture.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

struct TargetSupervisorFixture : ServiceFixture
{
    TargetSupervisorFixture()
    {
        addTargets(4, 2);
        switchPreset();
    }

    const TargetVerdict &verdict(std::size_t target) const { return view->targets[target].verdict; }
    unsigned ejectedCount() const
    {
        return std::count_if(view->targets.begin(), view->targets.end(),
                             [](const auto &it) { return it.verdict.ejected; });
    }
};

// Guards against a flapping target that keeps failing a share of the requests.
TEST_CASE_FIXTURE(TargetSupervisorFixture, "supervisor, flapping target, ejects longer, then ramps")
{
    for (const auto ejection : {1s, 2s, 4s}) {
        observe(0, ObservedOutcome::Fault, 5);
        CHECK(tick());
        CHECK(verdict(0).ejected);
        clock.advance(ejection - 1ms);
        CHECK_FALSE(tick());
        clock.advance(1ms);
        CHECK(tick());
        CHECK_FALSE(verdict(0).ejected);
        CHECK(verdict(0).rampWeight == doctest::Approx(0.1));
        clock.advance(5s);
        tick();
        CHECK(verdict(0).rampWeight == doctest::Approx(0.6));
        clock.advance(5s);
        tick();
        CHECK(verdict(0).rampWeight == 1.0);
    }
    const EjectionRule rule(policy().ejection);
    CHECK(rule.ejectionTime(100) == policy().ejection.maxEjectionTime);
}

// Guards against a preset published for each tick or each observation.
TEST_CASE_FIXTURE(TargetSupervisorFixture,
                  "supervisor, good answers between faults, changes nothing")
{
    for (int i = 0; i < 10; ++i) {
        observe(0, ObservedOutcome::Rejected, 4);
        observe(0, ObservedOutcome::Good);
        CHECK_FALSE(tick());
    }
}

// Guards against reports that come from a fault of this VM and would take out every target.
TEST_CASE_FIXTURE(TargetSupervisorFixture, "supervisor, most targets look bad, keeps all of them")
{
    observe(0, ObservedOutcome::Fault, 5);
    tick();
    CHECK(ejectedCount() == 1);
    observe(1, ObservedOutcome::Fault, 5);
    observe(2, ObservedOutcome::Fault, 5);
    tick();
    CHECK(ejectedCount() == 0);
    CHECK(verdict(0).rampWeight == 1.0);
    CHECK(std::count(events.begin(), events.end(), "ejection-suspended jomakhata") == 1);
    observe(2, ObservedOutcome::Good);
    tick();
    CHECK(ejectedCount() == 2);
}

// Guards against new work for a leaving target after a list of VMs that lags calls it live.
TEST_CASE_FIXTURE(TargetSupervisorFixture, "supervisor, draining mark, undone by newer life only")
{
    const auto &id = policy().targets[0].id;
    const auto oldView = view;
    supervisor.markLive(policy().name, id, 5, clock.now());
    supervisor.observe({oldView, 0, ObservedOutcome::Good, true, {}}, clock.now());
    tick();
    CHECK(verdict(0).leaving);
    supervisor.markLive(policy().name, id, 5, clock.now());
    CHECK_FALSE(tick());
    supervisor.markLive(policy().name, id, 6, clock.now());
    CHECK(tick());
    CHECK_FALSE(verdict(0).leaving);
    CHECK(verdict(0).rampWeight == doctest::Approx(0.1));
    supervisor.observe({oldView, 0, ObservedOutcome::Good, true, {}}, clock.now());
    supervisor.markLeaving(policy().name, id, 5);
    CHECK_FALSE(tick());
}

// Guards against a draining mark that is lost with a dropped observation.
TEST_CASE_FIXTURE(TargetSupervisorFixture, "supervisor, mark known to the load only, sees it")
{
    view->targets[0].load->begin();
    view->targets[0].load->end({Answered{}, std::nullopt, true, 1ms}, 2, clock.now());
    CHECK(tick());
    CHECK(verdict(0).leaving);
}

// Guards against a switch that sends traffic back to failing, leaving or loaded targets.
TEST_CASE_FIXTURE(TargetSupervisorFixture,
                  "preset switch, targets that stay, keep load and verdict")
{
    observe(0, ObservedOutcome::Fault, 5);
    supervisor.markLeaving(policy().name, policy().targets[1].id, 1);
    tick();
    const auto before = view;
    addTargets(1, 2);
    switchPreset();
    CHECK(verdict(0).ejected);
    CHECK(verdict(1).leaving);
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(view->targets[i].load == before->targets[i].load);
    CHECK(verdict(4).rampWeight == doctest::Approx(0.1));
    const auto leaving = policy().targets[1];
    policy().targets.erase(policy().targets.begin() + 1);
    switchPreset();
    policy().targets.push_back(leaving);
    switchPreset();
    CHECK(verdict(4).leaving);
}

TEST_SUITE_END();
