#include "Request/Request.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Request");

struct RetryBudgetFixture
{
    ManualClock clock;
    RepeatPolicy policy{0.2, 10s, 20, 10};
    WindowedRetryBudget budget{policy, clock};

    unsigned takeAll()
    {
        unsigned n = 0;
        while (budget.takeRetry())
            ++n;
        return n;
    }
};

// Guards against a fleet whose VMs together repeat more than the bound allows.
TEST_CASE_FIXTURE(RetryBudgetFixture,
                  "retry budget, without requests, gives the share of the slack")
{
    CHECK(takeAll() == 1);
}

TEST_CASE_FIXTURE(RetryBudgetFixture, "retry budget, with requests, gives their ratio besides")
{
    for (int i = 0; i < 100; ++i)
        budget.recordFirstAttempt();
    CHECK(takeAll() == 19);
}

// Guards against repeats that fall into one window although each half of it had its own allowance.
TEST_CASE_FIXTURE(RetryBudgetFixture, "retry budget, repeats of the last window, count against it")
{
    for (int i = 0; i < 100; ++i)
        budget.recordFirstAttempt();
    takeAll();
    clock.advance(9s);
    CHECK(takeAll() == 0);
    clock.advance(2s);
    CHECK(takeAll() == 1);
}

TEST_SUITE_END();
