#include "Process/AllowanceFleet.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace Sapphireladder;
using namespace Sapphireladder::Tests;
using namespace std::chrono_literals;

namespace {

constexpr AllowancePolicy policy{5s, 0.1, 20};
/** Limits are this multiple of the usual use. */
constexpr double limitFactor = 1.6;
/** Use of the workspace with the most requests, as a multiple of its usual use. */
constexpr double hotFactor = 7.5;
/** Callers of each VM; each uses one workspace. */
constexpr unsigned callersPerVm = 8;

/** The requests that an exact token bucket would admit. */
class IdealBucket
{
public:
    explicit IdealBucket(const Workspace &workspace)
        : m_rate(workspace.requestsPerSecond)
        , m_capacity(workspace.burst)
        , m_tokens(workspace.burst)
    {}

    bool admit(TimePoint now)
    {
        if (m_last)
            m_tokens = std::min(m_capacity, m_tokens + m_rate * toSeconds(now - *m_last));
        m_last = now;
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        ++m_admitted;
        return true;
    }
    std::size_t admitted() const { return m_admitted; }

private:
    double m_rate;
    double m_capacity;
    double m_tokens;
    std::optional<TimePoint> m_last;
    std::size_t m_admitted = 0;
};

} // namespace

TEST_SUITE_BEGIN("Process");

/** A fleet whose callers use workspaces of very different size. */
struct AllowancePropertyFixture
{
    void create(unsigned vmCount, unsigned workspaceCount, double requestsPerSecond,
                std::uint64_t seed)
    {
        vms = vmCount;
        double weights = 0;
        for (unsigned i = 0; i < workspaceCount; ++i)
            weights += 1 / std::pow(i + 1.0, 0.9);
        for (unsigned i = 0; i < workspaceCount; ++i) {
            Workspace workspace;
            workspace.name = "workspace-" + std::to_string(i);
            usualRates.push_back(requestsPerSecond / std::pow(i + 1.0, 0.9) / weights);
            workspace.requestsPerSecond = limitFactor * usualRates.back();
            workspace.burst = std::max(4.0, workspace.requestsPerSecond);
            workspaces.push_back(workspace);
        }
        fleet = std::make_unique<AllowanceFleet>(vmCount, workspaces, policy, seed);
        auto &random = fleet->random();
        for (unsigned i = 0; i < workspaceCount; ++i) {
            const auto share = usualRates[i] / requestsPerSecond;
            const auto callers = std::max(1.0, share * callersPerVm * vmCount);
            for (unsigned n = 0; n < callers; ++n)
                callerVms[i].push_back(static_cast<unsigned>(random.below(vmCount)));
            ideal.emplace_back(workspaces[i]);
        }
        for (unsigned i = 0; i < vmCount; ++i)
            fleet->after(duration_cast<Duration>(1s * random.unit()),
                         [this, i] { fleet->start(i); });
    }

    /** Schedules the next request of a workspace, which repeats. */
    void scheduleRequest(unsigned i, Duration sinceStart = {})
    {
        const auto rate = usualRates[i] * (i == hotWorkspace ? hotFactor : 1.0);
        const auto wait = fromSeconds(-std::log(1 - fleet->random().unit()) / rate);
        fleet->after(sinceStart + wait, [this, i] {
            scheduleRequest(i);
            const auto vm = callerVms[i][fleet->random().below(callerVms[i].size())];
            if (!fleet->isRunning(vm))
                return;
            const bool isGivenBack = fleet->random().unit() < giveBackShare;
            if (!isGivenBack && isCounting)
                ideal[i].admit(fleet->now());
            fleet->request(vm, workspaces[i], isGivenBack);
        });
    }

    void scheduleTraffic(Duration start)
    {
        for (unsigned i = 0; i < workspaces.size(); ++i)
            scheduleRequest(i, start);
    }

    /** Schedules one fault after another. */
    void scheduleFault()
    {
        auto &random = fleet->random();
        fleet->after(fromSeconds(0.5 * random.unit()), [this, &random] {
            scheduleFault();
            // Half of the faults are at the collectors, which are the first VMs.
            const auto vm = static_cast<unsigned>(random.below(random.unit() < 0.5 ? 4 : vms));
            switch (random.below(3)) {
            case 0:
                fleet->start(vm);
                return;
            case 1:
                fleet->freeze(vm);
                fleet->after(fromSeconds(4 * random.unit()), [this, vm] { fleet->wake(vm); });
                return;
            default:
                const auto group = static_cast<unsigned>(1 + random.below(2));
                const auto first = random.below(vms);
                const auto count = random.below(vms / 2);
                for (std::size_t i = 0; i < count; ++i)
                    fleet->setGroup(static_cast<unsigned>((first + i) % vms), group);
                fleet->after(fromSeconds(3 * random.unit()), [this, first, count] {
                    for (std::size_t i = 0; i < count; ++i)
                        fleet->setGroup(static_cast<unsigned>((first + i) % vms), 0);
                });
            }
        });
    }

    double worstUse(TimePoint begin = {}, TimePoint end = TimePoint::max()) const
    {
        double worst = 0;
        for (const auto &it : workspaces)
            worst = std::max(worst, fleet->worstUse(it, policy, begin, end));
        return worst;
    }

    /** @return the part of the requests that exact buckets would admit that was passed on. */
    double admittedShare(TimePoint begin) const
    {
        double owed = 0;
        double passedOn = 0;
        for (unsigned i = 0; i < workspaces.size(); ++i) {
            const auto it = fleet->passedOn().find(workspaces[i].name);
            const auto n = it == fleet->passedOn().end()
                                   ? 0
                                   : std::count_if(it->second.begin(), it->second.end(),
                                                   [&](auto time) { return time >= begin; });
            owed += static_cast<double>(ideal[i].admitted());
            passedOn += std::min(static_cast<double>(n), static_cast<double>(ideal[i].admitted()));
        }
        return passedOn / owed;
    }

    unsigned vms = 0;
    std::vector<Workspace> workspaces;
    std::vector<double> usualRates;
    std::map<unsigned, std::vector<unsigned>> callerVms;
    std::vector<IdealBucket> ideal;
    std::unique_ptr<AllowanceFleet> fleet;
    std::optional<unsigned> hotWorkspace;
    double giveBackShare = 0;
    bool isCounting = false;
};

// Guards against allowances that are not used, though most callers use few VMs.
TEST_CASE_FIXTURE(AllowancePropertyFixture,
                  "allowances, uneven use and one hot workspace, admit nearly all owed requests")
{
    create(118, 79, 550, 1);
    fleet->faults.loss = 0.005;
    scheduleTraffic(10s);
    fleet->run(14s);
    isCounting = true;
    const auto begin = fleet->now();
    fleet->run(10s);
    // The fifth largest workspace is hot from now on.
    hotWorkspace = 4;
    const auto messagesBefore = fleet->messages;
    fleet->run(10s);
    const auto rate = (fleet->messages - messagesBefore) / 10;
    MESSAGE("admitted share: " << admittedShare(begin) << ", messages per second: " << rate
                               << ", worst use of a bound: " << worstUse());
    CHECK(admittedShare(begin) > 0.97);
    CHECK(worstUse() <= 1);
}

// Guards against a fleet that refuses most requests until the shares of a lost collector expire.
TEST_CASE_FIXTURE(AllowancePropertyFixture,
                  "allowances, both collectors are killed one after another, admit most requests")
{
    create(118, 79, 550, 2);
    scheduleTraffic(10s);
    fleet->run(14s);
    isCounting = true;
    const auto begin = fleet->now();
    fleet->kill(0);
    fleet->run(6s);
    fleet->kill(1);
    fleet->run(6s);
    MESSAGE("admitted share: " << admittedShare(begin));
    CHECK(admittedShare(begin) > 0.85);
    CHECK(worstUse() <= 1);
}

// Guards against targets that get more requests of a workspace than its limit permits, when VMs
// restart and forget, freeze and wake, and are cut off, and messages are late or repeated.
TEST_CASE_FIXTURE(AllowancePropertyFixture, "allowances, faults of all kinds, stay in the bound")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        *this = {};
        create(seed == 1 ? 500 : 60, 12, 600, seed);
        hotWorkspace = static_cast<unsigned>(seed % 3);
        giveBackShare = 0.1;
        fleet->faults = {0.05, 0.05, 10ms, 0.02, 3s};
        scheduleTraffic(7s);
        fleet->after(8s, [this] { scheduleFault(); });
        fleet->run(seed == 1 ? 25s : 60s);
        const auto counters = fleet->counters();
        MESSAGE("seed " << seed << ": worst use of a bound " << worstUse() << ", granted "
                        << counters.granted << ", refused " << counters.refused);
        CHECK(worstUse() <= 1);
        CHECK(worstUse() > 0.3);
    }
}

// Guards against a lower limit that a collector applies only to new tokens.
TEST_CASE_FIXTURE(AllowancePropertyFixture,
                  "allowances, lower limits reach cut off VMs late, hold a window after the last")
{
    create(60, 6, 600, 9);
    hotWorkspace = 0;
    scheduleTraffic(7s);
    fleet->run(14s);
    CHECK(worstUse() <= 1);
    auto lower = workspaces;
    for (auto &it : lower) {
        it.requestsPerSecond /= 4;
        it.burst /= 4;
    }
    for (unsigned i = 0; i < vms; ++i) {
        const bool isCutOff = i % 3 == 0;
        fleet->setGroup(i, isCutOff ? 1 : 0);
        fleet->after(isCutOff ? 4s : 1s, [this, i, lower] {
            fleet->setWorkspaces(i, lower);
            fleet->setGroup(i, 0);
        });
    }
    fleet->run(4s);
    CHECK(worstUse() <= 1);
    const auto begin = fleet->now() + policy.window;
    workspaces = lower;
    fleet->run(15s);
    CHECK(worstUse(begin) <= 1);
    CHECK(worstUse(begin) > 0.3);
}

// Guards against VMs that join and own a share before the others know of them.
TEST_CASE_FIXTURE(AllowancePropertyFixture, "allowances, fleet grows, stay in the bound")
{
    create(90, 6, 600, 11);
    fleet->run(2s);
    for (unsigned i = 60; i < vms; ++i)
        fleet->kill(i);
    fleet->setFleetSize(60);
    hotWorkspace = 1;
    scheduleTraffic(5s);
    fleet->run(15s);
    for (unsigned i = 60; i < vms; ++i)
        fleet->start(i);
    fleet->run(1500ms);
    fleet->setFleetSize(90);
    fleet->run(15s);
    CHECK(worstUse() <= 1);
}

TEST_SUITE_END();
