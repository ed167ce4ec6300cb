#include "Request/Request.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Request");

struct TargetSelectorFixture
{
    TargetCandidate &add(unsigned slots = 4)
    {
        auto &candidate = candidates.emplace_back();
        candidate.index = candidates.size() - 1;
        candidate.slots = slots;
        candidate.serviceTime = 10ms;
        return candidate;
    }

    /** @return how often each candidate was selected in 1,000 selections. */
    std::vector<int> selectionCounts(std::string_view strategy)
    {
        const auto selector = findRoutingStrategy(strategy)->create();
        std::vector<int> counts(candidates.size());
        for (int i = 0; i < 1000; ++i)
            ++counts.at(selector->select(candidates, policy, random));
        return counts;
    }

    std::vector<TargetCandidate> candidates;
    RoutingPolicy policy;
    RandomSource random{7};
};

// Guards against refusing a preset that uses a documented strategy.
TEST_CASE_FIXTURE(TargetSelectorFixture, "routingStrategies, each documented name, has a selector")
{
    add();
    for (const auto *name :
         {"round-robin", "random", "least-in-flight", "power-of-two", "aged-estimate"}) {
        REQUIRE(findRoutingStrategy(name));
        CHECK(selectionCounts(name) == std::vector<int>{1000});
    }
}

// Guards against comparing absolute numbers, which overloads targets with few slots.
TEST_CASE_FIXTURE(TargetSelectorFixture, "least-in-flight, unequal slots, compares utilization")
{
    add(2).ownInFlight = 1;
    add(6).ownInFlight = 2;
    CHECK(selectionCounts("least-in-flight") == std::vector<int>{0, 1000});
}

// Guards against idle VMs that all send to the same target.
TEST_CASE_FIXTURE(TargetSelectorFixture, "least-in-flight, equal loads, distributes evenly")
{
    add();
    add();
    CHECK(selectionCounts("least-in-flight")[1] > 300);
}

TEST_CASE_FIXTURE(TargetSelectorFixture,
                  "power-of-two, one loaded target of three, is never selected")
{
    add();
    add().reportedInFlight = 4;
    candidates[1].reportAge = 1ms;
    add();
    const auto counts = selectionCounts("power-of-two");
    CHECK(counts[1] == 0);
    CHECK(counts[0] > 300);
}

// Guards against relying on old reports, which the load has changed since.
TEST_CASE_FIXTURE(TargetSelectorFixture, "aged-estimate, ageing report, approaches the mean")
{
    auto &loaded = add();
    loaded.reportedInFlight = 4;
    loaded.reportAge = 0ms;
    add().reportAge = 0ms;
    const auto means = meansOf(candidates);
    CHECK(estimateLoad(candidates[0], means, 50ms) == doctest::Approx(4.0));
    candidates[0].reportAge = 50ms;
    CHECK(estimateLoad(candidates[0], means, 50ms) == doctest::Approx(3.0));
    candidates[0].reportAge = 1h;
    CHECK(estimateLoad(candidates[0], means, 50ms) == doctest::Approx(2.0));
}

// Guards against sending all requests to the target with the best report.
TEST_CASE_FIXTURE(TargetSelectorFixture, "aged-estimate, requests sent since the report, are added")
{
    auto &candidate = add();
    candidate.reportAge = 0ms;
    candidate.reportedInFlight = 1;
    candidate.ownSinceReport = 3;
    CHECK(estimateLoad(candidate, meansOf(candidates), 50ms) == doctest::Approx(4.0));
    candidate.ownSinceReport = -3;
    candidate.ownInFlight = 1;
    CHECK(estimateLoad(candidate, meansOf(candidates), 50ms) == doctest::Approx(1.0));
}

TEST_CASE_FIXTURE(TargetSelectorFixture, "aged-estimate, idle slow target, is avoided")
{
    add().serviceTime = 500ms;
    add();
    CHECK(selectionCounts("aged-estimate") == std::vector<int>{0, 1000});
}

// Guards against overloading the VM's own availability zone by always preferring it.
TEST_CASE_FIXTURE(TargetSelectorFixture, "aged-estimate, own zone, is preferred within the margin")
{
    add().isInSameZone = false;
    add();
    policy.zoneMargin = 3ms;
    CHECK(selectionCounts("aged-estimate") == std::vector<int>{0, 1000});
    candidates[1].ownInFlight = 2;
    CHECK(selectionCounts("aged-estimate") == std::vector<int>{1000, 0});
}

// Guards against a returning target that attracts all requests because it is idle.
TEST_CASE_FIXTURE(TargetSelectorFixture, "sampleRampingCandidates, weight of 0.1, keeps one in ten")
{
    add().rampWeight = 0.1;
    add();
    int kept = 0;
    for (int i = 0; i < 1000; ++i) {
        auto sampled = candidates;
        sampleRampingCandidates(sampled, random);
        kept += sampled.size() == 2;
    }
    CHECK(kept > 50);
    CHECK(kept < 200);
    CHECK(rampedSlots(6, 0.1) == 1);
    CHECK(rampedSlots(6, 0.5) == 3);
}

TEST_SUITE_END();
