#include "Request/Request.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Request");

struct TargetFiguresFixture
{
    ManualClock clock;
    TargetFigures figures{2};

    void report(unsigned inFlight, double slowdown, bool isHealthy = true)
    {
        figures.reported({inFlight, 2, 0, slowdown}, isHealthy, clock.now());
    }
    double cost() { return figures.cost(clock.now()); }
};

TEST_CASE_FIXTURE(TargetFiguresFixture, "target figures, idle target that nothing slows, cost one")
{
    report(0, 1.0);
    CHECK(cost() == doctest::Approx(1.0));
}

// Guards against a choice by load alone: a neighbour's work slows an idle target fourfold.
TEST_CASE_FIXTURE(TargetFiguresFixture,
                  "target figures, slowed idle target, cost more than a busy one")
{
    report(0, 4.0);
    const auto slowed = cost();
    report(1, 1.0);
    CHECK(cost() < slowed);
}

// Guards against requests of one VM that all go to the target that was idle in the last report.
TEST_CASE_FIXTURE(TargetFiguresFixture, "target figures, own sends since the report, count as load")
{
    report(0, 1.0);
    figures.sent();
    figures.sent();
    CHECK(figures.expectedLoad(clock.now()) == 2);
    CHECK(cost() > 2.0);
}

// Guards against a target that fails at once and therefore looks idle.
TEST_CASE_FIXTURE(TargetFiguresFixture, "target figures, failures, raise the cost for some seconds")
{
    report(0, 1.0);
    figures.sent();
    figures.ended(AttemptVerdict::Failed, clock.now());
    report(0, 1.0);
    CHECK(cost() > 2.0);
    clock.advance(10s);
    report(0, 1.0);
    CHECK(cost() < 1.1);
}

// Guards against a target that is never used again because it calls itself ill and is well.
TEST_CASE_FIXTURE(TargetFiguresFixture,
                  "target figures, target that calls itself ill, is used last")
{
    report(0, 1.0, false);
    CHECK(cost() == doctest::Approx(TargetFigures::unhealthyFactor));
}

// Guards against targets that count as full by a report that is long over.
TEST_CASE_FIXTURE(TargetFiguresFixture, "target figures, old report, says little of the load")
{
    report(2, 1.0);
    CHECK(figures.expectedLoad(clock.now()) == 2);
    clock.advance(TargetFigures::reportLife + 1ms);
    CHECK(figures.expectedLoad(clock.now()) == 0);
}

TEST_CASE_FIXTURE(TargetFiguresFixture, "target figures, target that has just started, cost more")
{
    figures.setWarmUntil(clock.now() + 3s);
    report(0, 1.0);
    CHECK(cost() == doctest::Approx(TargetFigures::warmupSlowdown));
}

TEST_SUITE_END();
