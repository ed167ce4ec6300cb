#pragma once

#include "Request/AttemptResult.h"
#include "Request/RequestInfo.h"
#include "Request/RequestInterfaces.h"

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

/** @return the failure of the attempt, or nothing if the target responded. */
std::optional<FailedAttempt> failureOf(const AttemptResult &result);

/** Input of the retry decision besides the failure. */
struct RetryContext
{
    const RequestInfo &info;
    const RetryPolicy &policy;
    /** Attempts made so far, the failed one included. */
    unsigned attempts = 1;
    TimePoint now;
    /** Expected duration of another attempt. */
    Duration expectedDuration{};
};

/** Expected durations of an attempt that are left for another one when an attempt has stalled. */
constexpr int stallReserve = 2;
/** Minimum time without a response, in expected durations, after which an attempt has stalled. */
constexpr int minStallFactor = 4;

/**
 * Some targets never respond to requests that they cannot queue. An attempt that may be repeated is
 * therefore hedged while there is just enough time for another one.
 * @param context state of the request when the attempt is sent, with the attempt counted
 * @return the time without a response after which the attempt has stalled, or nothing if it must
 * not be hedged.
 */
std::optional<Duration> stallLimit(const RetryContext &context);

/**
 * Decides whether a failed attempt is retried. Consumes a token only if all other conditions hold.
 * @return the reason of the retry, or why there is none.
 */
std::variant<RetryReason, RetryDenial>
decideRetry(const FailedAttempt &failure, const RetryContext &context, RetryTokens &tokens);

} // namespace Sapphireladder
