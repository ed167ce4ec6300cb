#pragma once

#include "Request/AttemptResult.h"
#include "Request/RequestInfo.h"
#include "Request/RequestPorts.h"

#include <optional>
#include <variant>

namespace Sapphireladder {

/** A failed attempt as the retry decision sees it. */
struct FailedAttempt
{
    RetryReason reason = RetryReason::ConnectFailed;
    /** The target may have run the request. */
    bool mayHaveRun = true;
};

/** @return the failure of the attempt, or nothing if it was answered. */
std::optional<FailedAttempt> failureOf(const AttemptResult &result);

/** What the retry decision looks at besides the failure. */
struct RetryContext
{
    const RequestInfo &info;
    const RetryPolicy &policy;
    /** Attempts made so far, the failed one included. */
    unsigned attempts = 1;
    TimePoint now;
    /** Time that another attempt is expected to take. */
    Duration expectedTime{};
};

/**
 * Decides whether a failed attempt is repeated. Takes a token only if nothing else forbids it.
 * @return the reason to count for the retry, or why there is none.
 */
std::variant<RetryReason, RetryDenial>
decideRetry(const FailedAttempt &failure, const RetryContext &context, RetryTokens &tokens);

} // namespace Sapphireladder
