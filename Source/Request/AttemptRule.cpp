#include "Request/Request.h"

namespace Sapphireladder {

namespace {

constexpr unsigned firstSuccess = 200;
constexpr unsigned firstRedirect = 300;
constexpr unsigned badRequest = 400;
constexpr unsigned misdirected = 421;
constexpr unsigned firstServerFailure = 500;

AttemptJudgement judgeFailure(const AttemptResult &result)
{
    const auto *notRun = std::get_if<NotRun>(&result.end);
    const bool isStale = notRun && notRun->reason == RetryReason::StaleConnection;
    return {isStale ? AttemptVerdict::Abandoned : AttemptVerdict::Failed, failureOf(result)};
}

} // namespace

AttemptJudgement judgeAttempt(AttemptResult &result, const TargetStatement &said, bool isIdempotent)
{
    const auto *answered = std::get_if<Answered>(&result.end);
    if (!answered)
        return judgeFailure(result);
    const auto status = answered->answer.status;
    if (status == misdirected) {
        result.end = NotRun{RetryReason::Misdirected};
        return {AttemptVerdict::Abandoned, failureOf(result)};
    }
    // An invalid request is delivered as 400: every other target would reject it too.
    if (said.notRun && status != badRequest) {
        result.end = NotRun{RetryReason::Shed};
        return {AttemptVerdict::Shed, failureOf(result)};
    }
    if (status >= firstSuccess && status < firstRedirect && !said.isSigned) {
        result.end = Unknown{UnknownReason::AnswerMismatch};
        return judgeFailure(result);
    }
    if (status < firstServerFailure)
        return {AttemptVerdict::Served, std::nullopt};
    if (!isIdempotent)
        return {AttemptVerdict::Failed, std::nullopt};
    return {AttemptVerdict::Failed, FailedAttempt{RetryReason::TargetFailed, true}};
}

} // namespace Sapphireladder
