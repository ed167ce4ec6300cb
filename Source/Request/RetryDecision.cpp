#include "Request/Request.h"

namespace Sapphireladder {

namespace {

RetryReason retryReasonOf(UnknownReason reason)
{
    switch (reason) {
    case UnknownReason::ResponseTimeout:
        return RetryReason::ResponseTimeout;
    case UnknownReason::ResponseTruncated:
    case UnknownReason::ResponseWithoutLength:
    case UnknownReason::InvalidResponseFraming:
    case UnknownReason::ResponseTooLarge:
    case UnknownReason::MemoryLimit:
        return RetryReason::ResponseTruncated;
    case UnknownReason::ResponseMismatch:
        return RetryReason::ResponseMismatch;
    case UnknownReason::UnconfirmedRefusal:
        return RetryReason::TargetFailed;
    case UnknownReason::ConnectionReset:
    case UnknownReason::AlreadyAccepted:
    case UnknownReason::Count:
        break;
    }
    return RetryReason::ConnectionReset;
}

} // namespace

std::optional<FailedAttempt> failureOf(const AttemptResult &result)
{
    if (const auto *notRun = std::get_if<NotRun>(&result.outcome))
        return FailedAttempt{notRun->reason, false};
    if (const auto *unknown = std::get_if<Unknown>(&result.outcome))
        return FailedAttempt{retryReasonOf(unknown->reason), true};
    return std::nullopt;
}

std::optional<Duration> stallLimit(const RetryContext &context)
{
    if (!context.info.idempotent || context.attempts >= context.policy.maxAttempts)
        return std::nullopt;
    const auto limit = context.info.deadline - context.now
                       - context.expectedDuration * stallReserve;
    if (limit < context.expectedDuration * minStallFactor)
        return std::nullopt;
    return limit;
}

std::variant<RetryReason, RetryDenial> decideRetry(const FailedAttempt &failure,
                                                   const RetryContext &context, RetryTokens &tokens)
{
    if (failure.mayHaveRun && !context.info.idempotent)
        return RetryDenial::NotIdempotent;
    // An earlier hop is already retrying the request. Retries at every hop would multiply the
    // number of attempts.
    if (context.info.priorAttempts > 0)
        return RetryDenial::RetriedByEarlierHop;
    if (context.attempts >= context.policy.maxAttempts)
        return RetryDenial::AttemptLimit;
    if (context.now + context.expectedDuration >= context.info.deadline)
        return RetryDenial::DeadlineNear;
    if (!tokens.takeRetry())
        return RetryDenial::BudgetEmpty;
    return failure.reason;
}

} // namespace Sapphireladder
