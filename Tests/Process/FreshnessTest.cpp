#include "Process/Process.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

// Guards against limits that add up: each must leave time for what follows when it is exceeded.
TEST_CASE("freshness bounds, any bound on changes, are nested")
{
    for (const Duration bound : {Duration(100ms), Duration(2s), Duration(15s)}) {
        const auto bounds = FreshnessBounds::of(bound);
        CHECK(bounds.pollInterval < bounds.maxRelayedAge);
        CHECK(bounds.maxRelayedAge < bounds.maxAge);
        CHECK(bounds.pollInterval + bounds.minRecencyGain < bounds.maxAge);
        CHECK(bounds.maxAge <= bound * 3 / 4);
    }
}

// Guards against polls of two tables that return at different times, and cost two messages to each
// client.
TEST_CASE("poll schedule, any time, is the same for all tables and never in the past")
{
    const PollSchedule schedule{900ms, 350ms};
    TimePoint now{};
    for (int i = 0; i < 50; ++i) {
        now += 37ms;
        const auto next = schedule.next(now);
        CHECK(next > now + PollSchedule::minWait);
        CHECK(next <= now + PollSchedule::minWait + schedule.interval);
        CHECK((next.time_since_epoch() + schedule.phase) % schedule.interval == Duration::zero());
    }
}

struct StoreClockFixture
{
    /** The store's clock is behind by this time. */
    static constexpr Duration offset = 5h;

    /** @return how long before its handling the store has certainly made a response. */
    Duration ageOf(Duration sinceCall, Duration sinceResponse)
    {
        const auto now = clock.now();
        const auto storeTime = std::chrono::floor<std::chrono::milliseconds>(
                now.time_since_epoch() - sinceResponse - offset);
        return now - storeClock.responseMadeAfter(now - sinceCall, now, storeTime);
    }

    StoreClockFixture() { clock.advance(10h); }

    ManualClock clock;
    StoreClock storeClock;
};

// Guards against a response that was delayed by a busy VM or network and that counts as new.
TEST_CASE_FIXTURE(StoreClockFixture, "store clock, response handled late, tells its age")
{
    CHECK(ageOf(4ms, 2ms) <= 5ms);
    clock.advance(1s);
    const auto age = ageOf(900ms, 600ms);
    CHECK(age >= 600ms);
    CHECK(age <= 605ms);
}

TEST_CASE_FIXTURE(StoreClockFixture, "store clock, store states no time, uses that of the call")
{
    CHECK(storeClock.responseMadeAfter(clock.now() - 700ms, clock.now(), std::nullopt)
          == clock.now() - 700ms);
}

// Guards against a store whose clock starts anew with it, and whose responses then count as made in
// the future or hours ago.
TEST_CASE_FIXTURE(StoreClockFixture, "store clock, store's clock jumps, uses the time of the call")
{
    ageOf(4ms, 2ms);
    for (const Duration jump : {Duration(-2h), Duration(3h)}) {
        const auto now = clock.now();
        const auto made = storeClock.responseMadeAfter(now - 4ms, now,
                                                       now.time_since_epoch() - offset + jump);
        CHECK(made <= now);
        CHECK(made >= now - 10ms);
    }
}

TEST_SUITE_END();
