#include "Request/Request.h"

namespace Sapphireladder {

namespace {

constexpr unsigned firstSuccessStatus = 200;
constexpr unsigned firstRedirectStatus = 300;
constexpr unsigned badRequestStatus = 400;
constexpr unsigned requestTimeoutStatus = 408;
constexpr unsigned misdirectedStatus = 421;
constexpr unsigned tooManyRequestsStatus = 429;
constexpr unsigned firstServerErrorStatus = 500;
constexpr unsigned unavailableStatus = 503;

/** @return whether the status tells the caller that the request was not run. */
bool promisesNotRun(unsigned status)
{
    return status == requestTimeoutStatus || status == tooManyRequestsStatus
           || status == unavailableStatus;
}

AttemptEvaluation evaluateFailure(const AttemptResult &result)
{
    const auto *notRun = std::get_if<NotRun>(&result.outcome);
    const auto *unknown = std::get_if<Unknown>(&result.outcome);
    const bool isStale = notRun && notRun->reason == RetryReason::StaleConnection;
    // The memory is that of this process, so the target is not at fault.
    const bool isOutOfMemory = unknown && unknown->reason == UnknownReason::MemoryLimit;
    return {isStale || isOutOfMemory ? HealthSignal::Abandoned : HealthSignal::Failed,
            failureOf(result)};
}

} // namespace

AttemptEvaluation evaluateAttempt(AttemptResult &result, const ResponseMetadata &metadata,
                                  bool isIdempotent)
{
    const auto *answered = std::get_if<Answered>(&result.outcome);
    if (!answered)
        return evaluateFailure(result);
    const auto status = answered->response.status;
    if (status == misdirectedStatus) {
        result.outcome = NotRun{RetryReason::Misdirected};
        return {HealthSignal::Abandoned, failureOf(result)};
    }
    // An invalid request is delivered as 400: every other target would reject it too.
    if (metadata.notRun && status != badRequestStatus) {
        result.outcome = NotRun{RetryReason::Shed};
        return {HealthSignal::Shed, failureOf(result)};
    }
    if (status >= firstSuccessStatus && status < firstRedirectStatus && !metadata.isSigned) {
        result.outcome = Unknown{UnknownReason::ResponseMismatch};
        return evaluateFailure(result);
    }
    const auto healthSignal = status < firstServerErrorStatus ? HealthSignal::Served
                                                              : HealthSignal::Failed;
    const FailedAttempt failure{RetryReason::TargetFailed, true};
    // The caller would send it again, and the target does not state that it did not run it.
    if (!isIdempotent && promisesNotRun(status)) {
        result.outcome = Unknown{UnknownReason::UnconfirmedRefusal};
        return {healthSignal, failure};
    }
    if (!isIdempotent || healthSignal == HealthSignal::Served)
        return {healthSignal, std::nullopt};
    return {healthSignal, failure};
}

} // namespace Sapphireladder
