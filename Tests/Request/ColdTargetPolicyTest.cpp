#include "Request/Request.h"

#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <map>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Request");

namespace {

/** @return the probability that more than `limit` of the VMs select themselves. */
double overshootProbability(unsigned limit, unsigned vms, double probability)
{
    double sum = 0;
    for (unsigned n = limit + 1; n <= vms; ++n)
        sum += std::exp(std::lgamma(vms + 1.0) - std::lgamma(n + 1.0) - std::lgamma(vms - n + 1.0)
                        + n * std::log(probability) + (vms - n) * std::log1p(-probability));
    return sum;
}

} // namespace

// Guards against more VMs warming a target than its limit allows, and against a probability so low
// that hardly any does.
TEST_CASE("cold target share, any fleet and limit, keeps the probability of an excess")
{
    for (const unsigned limit : {1U, 3U, 14U, 40U}) {
        for (const unsigned vms : {limit + 1, 2 * limit, 57U, 122U, 141U, 500U, 3000U}) {
            if (vms <= limit)
                continue;
            CAPTURE(limit);
            CAPTURE(vms);
            const auto share = coldTargetShare(limit, vms);
            CHECK(share.requestsPerSecond == 1);
            const auto excess = overshootProbability(limit, vms, share.selectionProbability);
            CHECK(excess <= maxColdOvershootProbability * 1.01);
            CHECK(excess >= maxColdOvershootProbability * 0.99);
        }
    }
}

TEST_CASE("cold target share, fleet smaller than the limit, is an equal part of it")
{
    CHECK(coldTargetShare(14, 1) == ColdTargetShare{1.0, 14});
    CHECK(coldTargetShare(14, 4) == ColdTargetShare{1.0, 3});
    CHECK(coldTargetShare(14, 14) == ColdTargetShare{1.0, 1});
    CHECK(coldTargetShare(0, 4).requestsPerSecond == 0);
    CHECK(coldTargetShare(1'000'000, 0).requestsPerSecond == ColdTargetBudget::maxCountedRequests);
}

// Guards against cold targets that no VM warms up, because all VMs choose the same ones.
TEST_CASE("cold target selection, many targets, follows the probability")
{
    constexpr unsigned vms = 122;
    constexpr unsigned targets = 2000;
    const auto share = coldTargetShare(14, vms);
    unsigned selected = 0;
    unsigned withoutVm = 0;
    for (unsigned target = 0; target < targets; ++target) {
        unsigned n = 0;
        for (unsigned vm = 0; vm < vms; ++vm)
            n += maySendToColdTarget(share, VmId("vm-" + std::to_string(vm)),
                                     TargetId("t" + std::to_string(target)), 1)
                         ? 1
                         : 0;
        selected += n;
        withoutVm += n == 0 ? 1 : 0;
    }
    const double expected = share.selectionProbability * vms;
    const double mean = static_cast<double>(selected) / targets;
    CAPTURE(expected);
    CHECK(mean > expected * 0.9);
    CHECK(mean < expected * 1.1);
    CHECK(withoutVm < targets * std::exp(-expected) * 1.5);
}

struct FleetSizeBoundFixture
{
    ManualClock clock;
    FleetSizeBound bound;
};

// Guards against a VM that takes the clients of the first relay for the whole fleet.
TEST_CASE_FIXTURE(FleetSizeBoundFixture, "fleet size bound, size falls, keeps the larger one")
{
    CHECK_FALSE(bound.bound(clock.now()));
    bound.record(1000, clock.now());
    clock.advance(3s);
    bound.record(40, clock.now());
    CHECK(*bound.bound(clock.now()) >= 1000);
    clock.advance(10s);
    bound.record(120, clock.now());
    clock.advance(18s);
    CHECK(*bound.bound(clock.now()) >= 1000);
    clock.advance(3s);
    CHECK(*bound.bound(clock.now()) == 138);
    bound.record(200, clock.now());
    CHECK(*bound.bound(clock.now()) == 230);
}

struct ColdTargetBudgetFixture
{
    ColdTargetBudgetFixture()
    {
        clock.advance(1h);
        budget = ColdTargetBudget(clock.now());
        budget.setAllowance(1);
    }

    bool canSend() const { return budget.canSend(clock.now()); }

    ManualClock clock;
    ColdTargetBudget budget{TimePoint{}};
};

// Guards against a restarted VM that sends more than its part, since it forgot what it sent.
TEST_CASE_FIXTURE(ColdTargetBudgetFixture, "cold target budget, new target, waits for a window")
{
    CHECK(canSend());
    budget.registryReported(10s, clock.now());
    CHECK_FALSE(canSend());
    clock.advance(ColdTargetBudget::window);
    CHECK(canSend());
    CHECK(budget.isWarmupDue(clock.now()));
}

TEST_CASE_FIXTURE(ColdTargetBudgetFixture, "cold target budget, cold, sends once in a window")
{
    clock.advance(5s);
    budget.requestSent(clock.now());
    clock.advance(500ms);
    // It turns cold after a request that was sent while it was warm.
    budget.registryReported(10s, clock.now());
    CHECK_FALSE(canSend());
    clock.advance(ColdTargetBudget::window - 500ms);
    CHECK(canSend());
    budget.requestSent(clock.now());
    CHECK_FALSE(canSend());
    CHECK_FALSE(budget.isWarmupDue(clock.now()));
    clock.advance(10s);
    CHECK(canSend());
    CHECK_FALSE(budget.isCold(clock.now()));
}

TEST_CASE_FIXTURE(ColdTargetBudgetFixture,
                  "cold target budget, not one of the selected VMs, sends nothing while cold")
{
    budget.setAllowance(0);
    clock.advance(5s);
    budget.registryReported(3s, clock.now());
    CHECK_FALSE(canSend());
    clock.advance(2900ms);
    CHECK_FALSE(canSend());
    clock.advance(100ms);
    CHECK(canSend());
}

// Guards against deployments without a limit that are held back.
TEST_CASE_FIXTURE(ColdTargetBudgetFixture, "cold target budget, service without limit, sends all")
{
    budget.setAllowance(std::nullopt);
    budget.registryReported(10s, clock.now());
    for (int i = 0; i < 100; ++i) {
        CHECK(canSend());
        budget.requestSent(clock.now());
    }
    CHECK_FALSE(budget.isWarmupDue(clock.now()));
}

// Guards against a target that stays unused although it is warm, and against an answer from before
// it turned cold that makes it count as warm.
TEST_CASE_FIXTURE(ColdTargetBudgetFixture, "cold target budget, probe answers, is newer knowledge")
{
    budget.setAllowance(0);
    const auto earlier = clock.now();
    clock.advance(1s);
    budget.registryReported(10s, clock.now());
    budget.probeReported(0s, earlier, clock.now());
    CHECK(budget.isCold(clock.now()));
    budget.probeReported(0s, clock.now(), clock.now());
    CHECK_FALSE(budget.isCold(clock.now()));
    budget.probeReported(3s, clock.now(), clock.now());
    CHECK(budget.isCold(clock.now()));
    // A record that was written before the target turned cold.
    budget.registryReported(0s, clock.now());
    CHECK(budget.isCold(clock.now()));
}

namespace {

/** Counts the requests to one target in any second. */
class SlidingCount
{
public:
    std::size_t add(TimePoint now)
    {
        m_times.push_back(now);
        while (now - m_times.front() > 1s)
            m_times.pop_front();
        return m_times.size();
    }

private:
    std::deque<TimePoint> m_times;
};

/** A VM with its own view of the fleet and of one service's targets. */
struct ColdFleetVm
{
    VmId id;
    FleetSizeBound sizes;
    std::vector<ColdTargetBudget> budgets;
};

/**
 * A fleet without connections among its VMs, in overload: every VM has more requests than its
 * budgets allow, at any time. All targets of a zone have just come back cold.
 */
class ColdFleet
{
public:
    static constexpr unsigned fleetLimit = 14;
    static constexpr Duration step = 50ms;
    /** Mean for each VM; 250 s. */
    static constexpr std::size_t stepsBetweenRestarts = 5000;

    ColdFleet(unsigned vmCount, unsigned targetCount, std::uint64_t seed)
        : m_random(seed)
    {
        m_clock.advance(1h);
        for (unsigned i = 0; i < targetCount; ++i)
            m_targets.emplace_back("t" + std::to_string(i));
        for (unsigned i = 0; i < vmCount; ++i)
            addVm(i);
    }

    void addVm(unsigned i)
    {
        m_vms.push_back({VmId("vm-" + std::to_string(i)), {}, {}});
        start(m_vms.back());
    }

    /** Plays a span. @return the largest number of requests that a target got in a second. */
    std::size_t play(Duration duration)
    {
        std::size_t most = 0;
        for (Duration t{}; t < duration; t += step) {
            m_clock.advance(step);
            // VMs restart, and learn the size of the fleet, at any time.
            for (auto &it : m_vms) {
                if (m_random.below(stepsBetweenRestarts) == 0)
                    start(it);
                if (m_random.below(20) == 0)
                    it.sizes.record(static_cast<unsigned>(m_vms.size()), m_clock.now());
                most = std::max(most, sendAll(it));
            }
        }
        return most;
    }

    std::size_t servedTargets() const { return m_counts.size(); }

private:
    void start(ColdFleetVm &vm)
    {
        vm.budgets.clear();
        vm.sizes = {};
        vm.sizes.record(1000, m_clock.now());
        for (std::size_t i = 0; i < m_targets.size(); ++i)
            vm.budgets.emplace_back(m_clock.now()).registryReported(1h, m_clock.now());
    }

    std::size_t sendAll(ColdFleetVm &vm)
    {
        const auto now = m_clock.now();
        const auto share = shareFor(*vm.sizes.bound(now));
        std::size_t most = 0;
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            auto &budget = vm.budgets[i];
            const bool isSelected = maySendToColdTarget(share, vm.id, m_targets[i], 1);
            budget.setAllowance(isSelected ? share.requestsPerSecond : 0);
            while (budget.canSend(now)) {
                budget.requestSent(now);
                most = std::max(most, m_counts[i].add(now));
            }
        }
        return most;
    }

    ColdTargetShare shareFor(unsigned vms)
    {
        const auto [it, isNew] = m_shares.try_emplace(vms);
        if (isNew)
            it->second = coldTargetShare(fleetLimit, vms);
        return it->second;
    }

    RandomSource m_random;
    ManualClock m_clock;
    std::vector<TargetId> m_targets;
    std::vector<ColdFleetVm> m_vms;
    std::map<std::size_t, SlidingCount> m_counts;
    std::map<unsigned, ColdTargetShare> m_shares;
};

} // namespace

// Load pattern: a zone returns with cold targets while every VM has more requests than it can
// place. Guards against targets that crash again because all VMs send to them.
TEST_CASE("cold targets, 500 VMs in overload without contact, stay under the limit in any second")
{
    ColdFleet fleet(500, 20, 1);
    CHECK(fleet.play(40s) <= ColdFleet::fleetLimit);
    CHECK(fleet.servedTargets() >= 15);
}

// Guards against an excess while the fleet grows by a tenth, before the VMs have counted it again.
TEST_CASE("cold targets, fleet of any size grows, stay under the limit in any second")
{
    for (const unsigned vms : {3U, 13U, 20U, 60U, 122U}) {
        CAPTURE(vms);
        ColdFleet fleet(vms, 10, vms);
        CHECK(fleet.play(34s) <= ColdFleet::fleetLimit);
        for (unsigned i = 0; i < vms / 10; ++i)
            fleet.addVm(vms + i);
        CHECK(fleet.play(10s) <= ColdFleet::fleetLimit);
        CHECK(fleet.servedTargets() >= 8);
    }
}

TEST_SUITE_END();
