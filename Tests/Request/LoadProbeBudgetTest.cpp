#include "Request/Request.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Request");

struct LoadProbeBudgetFixture
{
    ManualClock clock;
    LoadProbeBudget budget{clock.now()};

    unsigned takeAll()
    {
        unsigned n = 0;
        for (; budget.canProbe(clock.now()); ++n)
            budget.consume(clock.now());
        return n;
    }
};

// Guards against more load probes to a target than its limit allows, over all VMs together.
TEST_CASE_FIXTURE(LoadProbeBudgetFixture,
                  "load probe budget, over time, allows no more than rate and burst")
{
    LoadProbePolicy policy;
    policy.probesPerSecond = 0.3;
    budget.setPolicy(policy);
    unsigned n = takeAll();
    for (int i = 0; i < 400; ++i) {
        clock.advance(100ms);
        n += takeAll();
    }
    CHECK(n <= 1 + 12 + 3);
    CHECK(n >= 12);
}

TEST_SUITE_END();
