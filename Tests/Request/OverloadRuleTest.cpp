#include "Request/Request.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <vector>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Request");

/** Targets of one service with 20 slots, and requests of several priorities, in steps of 10 ms. */
struct OverloadFixture
{
    /** Requests of one priority. */
    struct Kind
    {
        RequestPriority priority;
        double perSecond = 0;
        double arrived = 0;
        double served = 0;
        /** Part of a request that has not arrived yet. */
        double fraction = 0;

        double share() const { return served / arrived; }
    };

    static constexpr Duration step = 10ms;
    static constexpr unsigned slotCount = 20;
    /** 20 slots serve 200 requests a second. */
    static constexpr Duration serviceTime = 100ms;

    ManualClock clock;
    RandomSource random{1};
    OverloadPolicy policy{.minShare = 0.05};
    std::optional<OverloadRule> rule;
    std::vector<TimePoint> busyUntil;
    std::vector<Kind> kinds;
    Duration longestRetryAfter{};

    OverloadFixture() { clock.advance(1h); }

    void arrive(Kind &kind)
    {
        const auto now = clock.now();
        const double occupancy = static_cast<double>(busyUntil.size()) / slotCount;
        ++kind.arrived;
        const auto refusal = rule->decide(kind.priority, occupancy, random.unit(), now);
        if (refusal) {
            longestRetryAfter = std::max(longestRetryAfter, refusal->retryAfter);
        } else if (busyUntil.size() < slotCount) {
            busyUntil.push_back(now + serviceTime);
            ++kind.served;
        }
    }

    void play(Duration duration)
    {
        if (!rule)
            rule.emplace(policy);
        for (const auto end = clock.now() + duration; clock.now() < end; clock.advance(step)) {
            std::erase_if(busyUntil, [now = clock.now()](auto it) { return it <= now; });
            for (auto &it : kinds) {
                it.fraction += it.perSecond * toSeconds(step);
                for (; it.fraction >= 1.0; it.fraction -= 1.0)
                    arrive(it);
            }
        }
    }

    void resetCounts()
    {
        for (auto &it : kinds)
            it.arrived = it.served = 0;
    }
};

/** An urgent and a less urgent kind that together need 70 % of the slots. */
struct TwoKindsFixture : OverloadFixture
{
    TwoKindsFixture()
    {
        kinds = {{.priority = {0, 0}, .perSecond = 80}, {.priority = {0, 1}, .perSecond = 60}};
        play(5s);
        resetCounts();
    }

    Kind &urgent() { return kinds[0]; }
    Kind &deferrable() { return kinds[1]; }
};

// Guards against refusals in ordinary load.
TEST_CASE_FIXTURE(TwoKindsFixture, "overload rule, load fits, admits all")
{
    play(10s);
    CHECK(urgent().share() == 1.0);
    CHECK(deferrable().share() == 1.0);
    CHECK(rule->admittedShare() == 1.0);
}

// Load: one workspace of low priority sends 4.6 times its usual. Guards against its requests taking
// the slots of the other workspaces.
TEST_CASE_FIXTURE(OverloadFixture, "overload rule, hot workspace, others are served")
{
    kinds = {{.priority = {0, 1}, .perSecond = 100}, {.priority = {1, 0}, .perSecond = 60 * 4.6}};
    play(5s);
    resetCounts();
    play(20s);
    CHECK(kinds[0].share() > 0.9);
    // It gets most of the slots that the others leave, which are enough for 100 requests a second.
    CHECK(kinds[1].served / 20 > 50);
}

// Load: the least urgent kind doubles. Guards against urgent requests that pay for it.
TEST_CASE_FIXTURE(TwoKindsFixture, "overload rule, least urgent kind doubles, leaves first")
{
    deferrable().perSecond *= 2.5;
    play(5s);
    resetCounts();
    play(20s);
    CHECK(urgent().share() > 0.9);
    CHECK(deferrable().share() > 0.5);
}

// Load: the most urgent kind doubles. Guards against less urgent requests that are refused for
// good.
TEST_CASE_FIXTURE(TwoKindsFixture, "overload rule, most urgent kind doubles, others keep a share")
{
    urgent().perSecond *= 2;
    play(5s);
    resetCounts();
    play(20s);
    CHECK(urgent().share() > 0.9);
    CHECK(deferrable().share() > policy.minShare / 2);
}

// Load: both kinds double. Guards against an order of refusals that does not follow the priority.
TEST_CASE_FIXTURE(TwoKindsFixture, "overload rule, all kinds double, urgent ones are served")
{
    urgent().perSecond *= 2;
    deferrable().perSecond *= 2;
    play(5s);
    resetCounts();
    play(20s);
    CHECK(urgent().share() > 0.85);
    CHECK(deferrable().share() > policy.minShare / 2);
    CHECK(deferrable().share() < urgent().share());
}

// Guards against refusals that outlast the overload, and against callers that return too early or
// much too late.
TEST_CASE_FIXTURE(TwoKindsFixture, "overload rule, burst ends, admits all within seconds")
{
    deferrable().perSecond *= 4;
    play(10s);
    CHECK(rule->admittedShare() < 1.0);
    CHECK(longestRetryAfter >= policy.period);
    CHECK(longestRetryAfter <= policy.period * (1.0 / policy.increase));
    deferrable().perSecond /= 4;
    play(6s);
    resetCounts();
    play(5s);
    CHECK(urgent().share() == 1.0);
    CHECK(deferrable().share() == 1.0);
}

// Load: all targets near full. Guards against a rule that refuses what the targets can still run.
TEST_CASE_FIXTURE(TwoKindsFixture, "overload rule, targets near full, admits almost all")
{
    urgent().perSecond = 95;
    deferrable().perSecond = 75;
    play(5s);
    resetCounts();
    play(20s);
    CHECK(urgent().share() > 0.95);
    CHECK(deferrable().share() > 0.85);
}

// Guards against refusals without knowledge of the targets' load.
TEST_CASE_FIXTURE(OverloadFixture, "overload rule, no reports, admits all")
{
    OverloadRule unknown(policy);
    for (int i = 0; i < 100; ++i) {
        CHECK_FALSE(unknown.decide({}, std::nullopt, 0.99, clock.now()));
        clock.advance(100ms);
    }
}

// Guards against a change for deployments whose settings do not ask for it.
TEST_CASE_FIXTURE(OverloadFixture, "overload rule, no minimum share, admits all")
{
    OverloadRule off({});
    for (int i = 0; i < 100; ++i) {
        CHECK_FALSE(off.decide({}, 1.0, 0.99, clock.now()));
        clock.advance(100ms);
    }
}

// Guards against an occupancy by one report or by old ones.
TEST_CASE_FIXTURE(OverloadFixture, "mean occupancy, few or old reports, is unknown")
{
    std::array<TargetStats, 3> stats{TargetStats(2), TargetStats(2), TargetStats(2)};
    const std::array<const TargetStats *, 3> targets{&stats[0], &stats[1], &stats[2]};
    stats[0].loadReported({2, 2, 4, 1.0}, true, clock.now());
    stats[1].loadReported({1, 2, 0, 1.0}, true, clock.now());
    CHECK_FALSE(meanOccupancy(targets, clock.now()));
    stats[2].loadReported({0, 2, 0, 1.0}, true, clock.now());
    CHECK(meanOccupancy(targets, clock.now()) == doctest::Approx(0.5));
    clock.advance(2s);
    CHECK_FALSE(meanOccupancy(targets, clock.now()));
}

TEST_SUITE_END();
