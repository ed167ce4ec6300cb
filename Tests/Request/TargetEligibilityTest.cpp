#include "Request/Request.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Request");

struct TargetEligibilityFixture
{
    ManualClock clock;
    TargetEligibility eligibility;

    TargetEligibilityFixture() { clock.advance(1h); }
    bool isUsable() const { return eligibility.isUsable(clock.now()); }
};

// Guards against requests to a target that has announced its stop while its record is still ready.
TEST_CASE_FIXTURE(TargetEligibilityFixture,
                  "target eligibility, leaving announced, holds against a ready record")
{
    CHECK(isUsable());
    CHECK(eligibility.announceLeaving());
    CHECK_FALSE(eligibility.announceLeaving());
    eligibility.setDraining(false);
    clock.advance(1h);
    CHECK_FALSE(isUsable());
    CHECK_FALSE(eligibility.usableAt(clock.now()));
}

// Guards against requests to a target that asked for a pause.
TEST_CASE_FIXTURE(TargetEligibilityFixture,
                  "target eligibility, pause requested, ends after the requested time")
{
    CHECK(eligibility.pause(1500ms, clock.now()) == 1500ms);
    CHECK_FALSE(isUsable());
    CHECK(eligibility.usableAt(clock.now()) == clock.now() + 1500ms);
    clock.advance(1499ms);
    CHECK_FALSE(isUsable());
    clock.advance(1ms);
    CHECK(isUsable());
    CHECK_FALSE(eligibility.usableAt(clock.now()));
}

TEST_CASE_FIXTURE(TargetEligibilityFixture,
                  "target eligibility, shorter pause requested, keeps the longer one")
{
    eligibility.pause(5s, clock.now());
    eligibility.pause(1s, clock.now());
    clock.advance(4s);
    CHECK_FALSE(isUsable());
}

TEST_CASE_FIXTURE(TargetEligibilityFixture, "target eligibility, pause out of range, is bounded")
{
    CHECK(eligibility.pause(-5s, clock.now()) == 0s);
    CHECK(isUsable());
    CHECK(eligibility.pause(24h, clock.now()) == TargetEligibility::maxPause);
    clock.advance(TargetEligibility::maxPause);
    CHECK(isUsable());
}

// Guards against a pause that brings a draining target back.
TEST_CASE_FIXTURE(TargetEligibilityFixture,
                  "target eligibility, draining and paused, has no time of return")
{
    eligibility.pause(1s, clock.now());
    eligibility.setDraining(true);
    CHECK_FALSE(eligibility.usableAt(clock.now()));
    clock.advance(2s);
    CHECK_FALSE(isUsable());
}

TEST_SUITE_END();
