#pragma once

#include "Request/AttemptResult.h"
#include "Request/ProxyDialect.h"
#include "Request/RetryDecision.h"
#include "Request/TargetFigures.h"

#include <optional>

namespace Sapphireladder {

/** What the end of an attempt says of the target and of the request. */
struct AttemptJudgement
{
    AttemptVerdict verdict = AttemptVerdict::Served;
    /** Set if another attempt is wanted. */
    std::optional<FailedAttempt> failure;
};

/**
 * Judges how an attempt ended, and corrects the end by what the target stated: an answer that says
 * that the request was not run becomes NotRun, and a success that no target vouches for Unknown.
 * @param result the end; an answer in it that may be delivered stays
 * @param said what the answer's fields state; ignored without an answer
 * @param isIdempotent whether the request may run more than once
 */
AttemptJudgement judgeAttempt(AttemptResult &result, const TargetStatement &said,
                              bool isIdempotent);

} // namespace Sapphireladder
