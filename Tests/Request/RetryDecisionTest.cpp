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

// Guards against requests that wait until their deadline for a target that never responds to what
// it cannot queue.
TEST_CASE_FIXTURE(RetryDecisionFixture,
                  "stallLimit, idempotent with time to spare, leaves time for another attempt")
{
    policy.maxAttempts = 2;
    info.deadline = TimePoint(1s);
    const auto limit = [this](Duration expected) {
        return stallLimit({info, policy, attempts, TimePoint(0s), expected});
    };
    CHECK(limit(100ms) == 800ms);
    CHECK_FALSE(limit(200ms));
    attempts = 2;
    CHECK_FALSE(limit(100ms));
    attempts = 1;
    info.idempotent = false;
    CHECK_FALSE(limit(100ms));
}

TEST_SUITE_END();
