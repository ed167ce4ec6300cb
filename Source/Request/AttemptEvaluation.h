#pragma once

#include "Request/AttemptResult.h"
#include "Request/HeaderCodec.h"
#include "Request/RetryDecision.h"
#include "Request/TargetStats.h"

#include <optional>

namespace Sapphireladder {

/** What the result of an attempt means for the target and for the request. */
struct AttemptEvaluation
{
    HealthSignal healthSignal = HealthSignal::Served;
    /** Set if the request should be retried. */
    std::optional<FailedAttempt> failure;
};

/**
 * Classifies the result of an attempt and corrects it by the response's status and header fields.
 * A 421 becomes NotRun, as does a response that states that the request was not run, except a 400.
 * An unsigned success becomes Unknown, as does a response to a request that is not idempotent whose
 * status promises that it was not run, if the target does not state this.
 * @param result the result; a response that may be delivered to the caller is kept
 * @param metadata values of the response's header fields; ignored without a response
 * @param isIdempotent whether the request may run more than once
 */
AttemptEvaluation evaluateAttempt(AttemptResult &result, const ResponseMetadata &metadata,
                                  bool isIdempotent);

} // namespace Sapphireladder
