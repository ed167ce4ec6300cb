#include "Request/Request.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Request");

struct TargetStatsFixture
{
    ManualClock clock;
    TargetStats stats{2};

    void report(unsigned inFlight, double slowdown, bool isHealthy = true)
    {
        stats.loadReported({inFlight, 2, 0, slowdown}, isHealthy, clock.now());
    }
    double cost() { return stats.cost(clock.now()); }
};

TEST_CASE_FIXTURE(TargetStatsFixture, "target stats, idle target without slowdown, cost is one")
{
    report(0, 1.0);
    CHECK(cost() == doctest::Approx(1.0));
}

// Guards against selection by load alone: other work on a shared host may slow an idle target
// fourfold.
TEST_CASE_FIXTURE(TargetStatsFixture,
                  "target stats, slowed idle target, costs more than a busy one")
{
    report(0, 4.0);
    const auto slowed = cost();
    report(1, 1.0);
    CHECK(cost() < slowed);
}

// Guards against sending all requests to the target that was idle in the last report.
TEST_CASE_FIXTURE(TargetStatsFixture, "target stats, requests sent since the report, count as load")
{
    report(0, 1.0);
    stats.requestSent();
    stats.requestSent();
    CHECK(stats.expectedLoad(clock.now()) == 2);
    CHECK(cost() > 2.0);
}

// Guards against preferring a target that fails immediately and therefore looks idle.
TEST_CASE_FIXTURE(TargetStatsFixture, "target stats, failures, raise the cost for some seconds")
{
    report(0, 1.0);
    stats.requestSent();
    stats.requestEnded(HealthSignal::Failed, clock.now());
    report(0, 1.0);
    CHECK(cost() > 2.0);
    clock.advance(10s);
    report(0, 1.0);
    CHECK(cost() < 1.1);
}

// Guards against excluding a target that wrongly reports itself unhealthy.
TEST_CASE_FIXTURE(TargetStatsFixture, "target stats, unhealthy target, costs more")
{
    report(0, 1.0, false);
    CHECK(cost() == doctest::Approx(TargetStats::unhealthyCostFactor));
}

// Guards against treating a target as full because of an outdated report.
TEST_CASE_FIXTURE(TargetStatsFixture, "target stats, outdated report, does not count as load")
{
    report(2, 1.0);
    CHECK(stats.expectedLoad(clock.now()) == 2);
    clock.advance(TargetStats::reportMaxAge + 1ms);
    CHECK(stats.expectedLoad(clock.now()) == 0);
}

TEST_CASE_FIXTURE(TargetStatsFixture, "target stats, target that has just started, costs more")
{
    stats.setWarmupEnd(clock.now() + 3s);
    report(0, 1.0);
    CHECK(cost() == doctest::Approx(TargetStats::warmupSlowdown));
}

TEST_SUITE_END();
