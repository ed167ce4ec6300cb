#include "Request/Request.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Request");

struct RetryDecisionFixture : RetryTokens
{
    void recordFirstAttempt() override {}
    bool takeRetry() override
    {
        ++taken;
        return granted;
    }

    std::variant<RetryReason, RetryDenial> decide(const FailedAttempt &failure)
    {
        info.deadline = TimePoint(1s);
        return decideRetry(failure, {info, policy, attempts, TimePoint(0s), 10ms}, *this);
    }

    RequestInfo info;
    RetryPolicy policy;
    unsigned attempts = 1;
    bool granted = true;
    int taken = 0;
};

// Guards against running a non-idempotent request, such as a payout, twice.
TEST_CASE_FIXTURE(RetryDecisionFixture, "decideRetry, non-idempotent that may have run, denies")
{
    info.idempotent = false;
    const auto decision = decide({RetryReason::ConnectionReset, true});
    CHECK(std::get<RetryDenial>(decision) == RetryDenial::NotIdempotent);
    CHECK(taken == 0);
}

TEST_CASE_FIXTURE(RetryDecisionFixture, "decideRetry, non-idempotent that did not run, retries")
{
    info.idempotent = false;
    const auto decision = decide({RetryReason::Shed, false});
    CHECK(std::get<RetryReason>(decision) == RetryReason::Shed);
}

// Guards against retries that multiply at each hop of a chain of calls.
TEST_CASE_FIXTURE(RetryDecisionFixture, "decideRetry, retried by an earlier hop, denies")
{
    info.priorAttempts = 1;
    const auto decision = decide({RetryReason::ConnectFailed, false});
    CHECK(std::get<RetryDenial>(decision) == RetryDenial::RetriedByEarlierHop);
}

TEST_CASE_FIXTURE(RetryDecisionFixture, "decideRetry, empty budget, denies")
{
    granted = false;
    const auto decision = decide({RetryReason::ConnectFailed, false});
    CHECK(std::get<RetryDenial>(decision) == RetryDenial::BudgetEmpty);
}

TEST_SUITE_END();
