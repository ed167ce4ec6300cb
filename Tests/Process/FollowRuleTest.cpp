#include "Process/Process.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

struct FollowRuleFixture
{
    FollowRuleFixture()
    {
        clock.advance(1h);
        rule.begin(false, clock.now());
    }

    FollowMode decide(bool isReader = false) { return rule.decide(isReader, clock.now()); }

    /** Others speak each second. */
    void hearFor(int seconds)
    {
        for (int i = 0; i < seconds; ++i) {
            rule.heard(clock.now());
            decide();
            clock.advance(1s);
        }
        rule.heard(clock.now());
    }

    ManualClock clock;
    FollowRule rule;
};

// Guards against a start at which every VM of the fleet calls the store.
TEST_CASE_FIXTURE(FollowRuleFixture, "follow rule, VM has just started, waits for others first")
{
    CHECK(decide() == FollowMode::Keep);
    clock.advance(FollowRule::firstWordTime);
    CHECK(decide() == FollowMode::Follow);
}

// Guards against callers that get nothing for long after a power loss of all VMs: 1,219 of 1,612
// answers of these 2 s were late (trouble-2 of kanchferat-gw grown). A caller with the objective of
// code-check, 500 ms for 210 ms of work, is in time if it arrives when the VM starts.
TEST_CASE_FIXTURE(FollowRuleFixture, "follow rule, nobody tells a VM that started, soon follows")
{
    constexpr Duration superviseInterval = 250ms;
    const auto startedAt = clock.now();
    while (decide() == FollowMode::Keep)
        clock.advance(rule.nextDecisionIn(superviseInterval, clock.now()));
    CHECK(clock.now() - startedAt <= 290ms);
    CHECK(rule.nextDecisionIn(superviseInterval, clock.now()) == superviseInterval);
}

TEST_CASE_FIXTURE(FollowRuleFixture, "follow rule, all VMs start, waits longer")
{
    rule.begin(true, clock.now());
    clock.advance(FollowRule::firstWordTime);
    CHECK(decide() == FollowMode::Keep);
    clock.advance(FollowRule::firstStartWordTime);
    CHECK(decide() == FollowMode::Follow);
}

TEST_CASE_FIXTURE(FollowRuleFixture,
                  "follow rule, others tell changes for a while, leaves the store")
{
    rule.heard(clock.now());
    CHECK(decide() == FollowMode::Keep);
    hearFor(2);
    CHECK(decide() == FollowMode::Leave);
}

// Guards against a VM that misses changes since the VM that told it fell silent.
TEST_CASE_FIXTURE(FollowRuleFixture, "follow rule, others fall silent, follows the store")
{
    hearFor(5);
    clock.advance(FollowRule::fedAge);
    CHECK(decide() != FollowMode::Follow);
    clock.advance(1ms);
    CHECK(decide() == FollowMode::Follow);
}

// Guards against a VM that others rely on and that follows the store seldom.
TEST_CASE_FIXTURE(FollowRuleFixture,
                  "follow rule, others ask, follows the store closely for a while")
{
    hearFor(5);
    rule.asked(clock.now());
    CHECK(decide() == FollowMode::FollowClosely);
    clock.advance(FollowRule::askedTime);
    rule.heard(clock.now());
    CHECK(decide() == FollowMode::Leave);
    CHECK(decide(true) == FollowMode::FollowClosely);
}

// Guards against a VM that asks the whole fleet within milliseconds.
TEST_CASE_FIXTURE(FollowRuleFixture, "follow rule, links fail, waits longer until others are heard")
{
    CHECK(rule.linkFailed() == FollowRule::firstLinkDelay);
    CHECK(rule.linkFailed() == 2 * FollowRule::firstLinkDelay);
    for (int i = 0; i < 10; ++i)
        rule.linkFailed();
    CHECK(rule.linkFailed() == FollowRule::longestLinkDelay);
    rule.heard(clock.now());
    decide();
    CHECK(rule.linkFailed() == FollowRule::firstLinkDelay);
}

TEST_SUITE_END();
