#include "Process/Process.h"

namespace Sapphireladder {

namespace {

ObservedOutcome observedOutcomeOf(const Response &answer)
{
    // A target that refuses everything need not mark its refusals. Other statuses of 500 and above
    // may come from the request and say nothing of the target.
    const bool isRejection = answer.status >= 502 && answer.status <= 504;
    return isRejection ? ObservedOutcome::Rejected : ObservedOutcome::Good;
}

ObservedOutcome observedOutcomeOf(NotRun notRun)
{
    if (notRun.reason == RetryReason::Shed)
        return ObservedOutcome::Rejected;
    // An idle connection that the target closed is ordinary.
    if (notRun.reason == RetryReason::StaleConnection)
        return ObservedOutcome::Neutral;
    return ObservedOutcome::Fault;
}

ObservedOutcome observedOutcomeOf(Unknown unknown)
{
    // The limit that the answer exceeds is the balancer's.
    return unknown.reason == UnknownReason::AnswerTooLarge ? ObservedOutcome::Neutral
                                                           : ObservedOutcome::Fault;
}

} // namespace

ObservedOutcome observedOutcomeOf(const AttemptResult &result)
{
    if (const auto *answered = std::get_if<Answered>(&result.end))
        return observedOutcomeOf(answered->response);
    if (const auto *notRun = std::get_if<NotRun>(&result.end))
        return observedOutcomeOf(*notRun);
    return observedOutcomeOf(std::get<Unknown>(result.end));
}

} // namespace Sapphireladder
