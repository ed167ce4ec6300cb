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

TEST_CASE_FIXTURE(TargetFiguresFixture, "target stats, idle target without slowdown, cost is one")
{
    report(0, 1.0);
    CHECK(cost() == doctest::Approx(1.0));
}

// Guards against selection by load alone: other work on a shared host may slow an idle target
// fourfold.
TEST_CASE_FIXTURE(TargetFiguresFixture,
                  "target stats, slowed idle target, costs more than a busy one")
{
    report(0, 4.0);
    const auto slowed = cost();
    report(1, 1.0);
    CHECK(cost() < slowed);
}

// Guards against sending all requests to the target that was idle in the last report.
TEST_CASE_FIXTURE(TargetFiguresFixture,
                  "target stats, requests sent since the report, count as load")
{
    report(0, 1.0);
    figures.sent();
    figures.sent();
    CHECK(figures.expectedLoad(clock.now()) == 2);
    CHECK(cost() > 2.0);
}

// Guards against preferring a target that fails immediately and therefore looks idle.
TEST_CASE_FIXTURE(TargetFiguresFixture, "target stats, failures, raise the cost for some seconds")
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

// Guards against excluding a target that wrongly reports itself unhealthy.
TEST_CASE_FIXTURE(TargetFiguresFixture, "target stats, unhealthy target, costs more")
{
    report(0, 1.0, false);
    CHECK(cost() == doctest::Approx(TargetFigures::unhealthyFactor));
}

// Guards against targets that count as full because of an outdated report.
TEST_CASE_FIXTURE(TargetFiguresFixture, "target stats, outdated report, is ignored")
{
    report(2, 1.0);
    CHECK(figures.expectedLoad(clock.now()) == 2);
    clock.advance(TargetFigures::reportLife + 1ms);
    CHECK(figures.expectedLoad(clock.now()) == 0);
}

TEST_CASE_FIXTURE(TargetFiguresFixture, "target stats, target that has just started, costs more")
{
    figures.setWarmUntil(clock.now() + 3s);
    report(0, 1.0);
    CHECK(cost() == doctest::Approx(TargetFigures::warmupSlowdown));
}

TEST_SUITE_END();
