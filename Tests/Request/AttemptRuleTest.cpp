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

TEST_CASE_FIXTURE(AttemptRuleFixture, "evaluateAttempt, signed success, is delivered")
{
    auto result = answered(200);
    const auto judgement = judgeAttempt(result, signedStatement(), false);
    CHECK_FALSE(judgement.failure);
    CHECK(judgement.verdict == AttemptVerdict::Served);
}

// Guards against delivering a success that does not come from a target.
TEST_CASE_FIXTURE(AttemptRuleFixture, "evaluateAttempt, unsigned success, may have run")
{
    auto result = answered(200);
    const auto judgement = judgeAttempt(result, {}, false);
    REQUIRE(judgement.failure);
    CHECK(judgement.failure->mayHaveRun);
    CHECK(std::holds_alternative<Unknown>(result.end));
}

// Guards against running a non-idempotent request twice.
TEST_CASE_FIXTURE(AttemptRuleFixture,
                  "evaluateAttempt, server error, is retried only if idempotent")
{
    auto result = answered(500);
    CHECK_FALSE(judgeAttempt(result, signedStatement(), false).failure);
    const auto judgement = judgeAttempt(result, signedStatement(), true);
    REQUIRE(judgement.failure);
    CHECK(judgement.failure->mayHaveRun);
}

TEST_CASE_FIXTURE(AttemptRuleFixture, "evaluateAttempt, response that states not run, is retried")
{
    auto result = answered(503);
    const auto judgement = judgeAttempt(result, notRunStatement(), false);
    REQUIRE(judgement.failure);
    CHECK_FALSE(judgement.failure->mayHaveRun);
    CHECK(judgement.verdict == AttemptVerdict::Shed);
}

// Guards against failing a request because its target's address was reused by another target, which
// did not run it.
TEST_CASE_FIXTURE(AttemptRuleFixture, "evaluateAttempt, misdirected request, is retried elsewhere")
{
    auto result = answered(421);
    const auto judgement = judgeAttempt(result, {}, false);
    REQUIRE(judgement.failure);
    CHECK_FALSE(judgement.failure->mayHaveRun);
    CHECK(judgement.failure->reason == RetryReason::Misdirected);
}

// Guards against reporting "not run" after a reset, which does not prove it.
TEST_CASE_FIXTURE(AttemptRuleFixture, "evaluateAttempt, reset connection, may have run")
{
    AttemptResult result{Unknown{UnknownReason::ConnectionReset}, {}, false, {}};
    const auto judgement = judgeAttempt(result, {}, false);
    REQUIRE(judgement.failure);
    CHECK(judgement.failure->mayHaveRun);
}

TEST_SUITE_END();
