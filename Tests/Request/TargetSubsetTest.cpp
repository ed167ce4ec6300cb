#include "Request/Request.h"

#include <doctest/doctest.h>

#include <set>

using namespace Sapphireladder;

TEST_SUITE_BEGIN("Request");

struct TargetSubsetFixture
{
    static constexpr std::size_t zoneCount = 5;

    TargetSubsetFixture() { addTargets(422); }

    void addTargets(std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i)
            ids.emplace_back("i-" + std::to_string(ids.size() * 7919));
    }

    /** @return the ids that a VM of the fleet uses. */
    std::set<TargetId> subset(std::size_t vm) const
    {
        std::vector<SubsetTarget> targets;
        for (std::size_t i = 0; i < ids.size(); ++i)
            targets.push_back({ids[i], i % zoneCount == vm % zoneCount});
        std::set<TargetId> chosen;
        for (const auto i : selectSubset(targets, VmId("vm-" + std::to_string(vm)), policy))
            chosen.insert(ids[i]);
        return chosen;
    }

    std::size_t countLocal(std::size_t vm) const
    {
        const auto chosen = subset(vm);
        std::size_t n = 0;
        for (std::size_t i = vm % zoneCount; i < ids.size(); i += zoneCount)
            n += chosen.count(ids[i]);
        return n;
    }

    SubsetPolicy policy;
    std::vector<TargetId> ids;
};

// Load pattern: hundreds of VMs with a few requests each and hundreds of targets. Guards against
// targets that no VM uses, and against targets that most VMs use.
TEST_CASE_FIXTURE(TargetSubsetFixture, "target subset, 472 VMs and 422 targets, covers them evenly")
{
    constexpr std::size_t vmCount = 472;
    std::map<TargetId, std::size_t> users;
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        const auto chosen = subset(vm);
        CHECK(chosen.size() == policy.size);
        for (const auto &it : chosen)
            ++users[it];
    }
    CHECK(users.size() == ids.size());
    const double mean = static_cast<double>(vmCount * policy.size)
                        / static_cast<double>(ids.size());
    for (const auto &it : users) {
        CAPTURE(it.first);
        const auto n = static_cast<double>(it.second);
        CHECK(n >= mean / 2);
        // The VMs' shares of the load probes allow for this.
        CHECK(n <= mean * 2);
    }
}

// Guards against connections and load reports that are lost whenever a target comes or goes.
TEST_CASE_FIXTURE(TargetSubsetFixture, "target subset, one target added, changes one at most")
{
    std::vector<std::set<TargetId>> before;
    for (std::size_t vm = 0; vm < 50; ++vm)
        before.push_back(subset(vm));
    addTargets(1);
    for (std::size_t vm = 0; vm < 50; ++vm) {
        std::size_t added = 0;
        for (const auto &it : subset(vm))
            added += before[vm].contains(it) ? 0 : 1;
        CHECK(added <= 1);
    }
}

// Load pattern: callers move to one zone, whose targets cannot bear them all.
TEST_CASE_FIXTURE(TargetSubsetFixture, "target subset, many local targets, includes remote ones")
{
    for (std::size_t vm = 0; vm < 20; ++vm) {
        CHECK(countLocal(vm) >= policy.size / 2);
        CHECK(countLocal(vm) <= policy.size * 3 / 4);
    }
}

// Guards against a zone with few targets whose VMs use a small subset.
TEST_CASE_FIXTURE(TargetSubsetFixture,
                  "target subset, few local targets, is filled with remote ones")
{
    ids.resize(60);
    CHECK(countLocal(0) == 12);
    CHECK(subset(0).size() == policy.size);
}

TEST_CASE_FIXTURE(TargetSubsetFixture, "target subset, small service, is used as a whole")
{
    ids.resize(policy.size);
    CHECK(subset(0).size() == policy.size);
}

TEST_SUITE_END();
