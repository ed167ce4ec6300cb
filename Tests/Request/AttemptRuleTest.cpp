#include "Request/Request.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Request");

struct AttemptRuleFixture
{
    static AttemptResult answered(unsigned status)
    {
        return {Answered{{status, {}, {}}}, {}, false, {}};
    }
    static TargetStatement signedStatement()
    {
        TargetStatement said;
        said.isSigned = true;
        return said;
    }
    static TargetStatement notRunStatement()
    {
        TargetStatement said;
        said.notRun = true;
        return said;
    }
};

TEST_CASE_FIXTURE(AttemptRuleFixture, "attempt rule, signed success, is delivered")
{
    auto result = answered(200);
    const auto judgement = judgeAttempt(result, signedStatement(), false);
    CHECK_FALSE(judgement.failure);
    CHECK(judgement.verdict == AttemptVerdict::Served);
}

// Guards against a success that no target vouches for.
TEST_CASE_FIXTURE(AttemptRuleFixture, "attempt rule, unsigned success, may have run")
{
    auto result = answered(200);
    const auto judgement = judgeAttempt(result, {}, false);
    REQUIRE(judgement.failure);
    CHECK(judgement.failure->mayHaveRun);
    CHECK(std::holds_alternative<Unknown>(result.end));
}

// Guards against the second run of a request that is not idempotent.
TEST_CASE_FIXTURE(AttemptRuleFixture,
                  "attempt rule, failure of a target, is not repeated unless idempotent")
{
    auto result = answered(500);
    CHECK_FALSE(judgeAttempt(result, signedStatement(), false).failure);
    const auto judgement = judgeAttempt(result, signedStatement(), true);
    REQUIRE(judgement.failure);
    CHECK(judgement.failure->mayHaveRun);
}

TEST_CASE_FIXTURE(AttemptRuleFixture, "attempt rule, target that says not run, may be repeated")
{
    auto result = answered(503);
    const auto judgement = judgeAttempt(result, notRunStatement(), false);
    REQUIRE(judgement.failure);
    CHECK_FALSE(judgement.failure->mayHaveRun);
    CHECK(judgement.verdict == AttemptVerdict::Shed);
}

// Guards against a reused address: the target there did not run the request.
TEST_CASE_FIXTURE(AttemptRuleFixture,
                  "attempt rule, misdirected request, may be repeated elsewhere")
{
    auto result = answered(421);
    const auto judgement = judgeAttempt(result, {}, false);
    REQUIRE(judgement.failure);
    CHECK_FALSE(judgement.failure->mayHaveRun);
    CHECK(judgement.failure->reason == RetryReason::Misdirected);
}

// Guards against "not run" after a reset, which proves nothing.
TEST_CASE_FIXTURE(AttemptRuleFixture, "attempt rule, reset connection, may have run")
{
    AttemptResult result{Unknown{UnknownReason::ConnectionReset}, {}, false, {}};
    const auto judgement = judgeAttempt(result, {}, false);
    REQUIRE(judgement.failure);
    CHECK(judgement.failure->mayHaveRun);
}

TEST_SUITE_END();
