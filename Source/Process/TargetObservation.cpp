#include "Process/Process.h"

namespace Sapphireladder {

namespace {

ObservedOutcome observedOutcomeOf(const Response &response)
{
    // A rejection need not carry the header that marks it, so 502 to 504 count as rejections. Other
    // 5xx statuses may be caused by the request itself.
    const bool isRejection = response.status >= 502 && response.status <= 504;
    return isRejection ? ObservedOutcome::Rejected : ObservedOutcome::Good;
}

ObservedOutcome observedOutcomeOf(NotRun notRun)
{
    if (notRun.reason == RetryReason::Shed)
        return ObservedOutcome::Rejected;
    // It is normal for a target to close an idle connection.
    if (notRun.reason == RetryReason::StaleConnection)
        return ObservedOutcome::Neutral;
    return ObservedOutcome::Fault;
}

ObservedOutcome observedOutcomeOf(Unknown unknown)
{
    // The limits are set by this process, so the target is not at fault.
    const bool isOwnLimit = unknown.reason == UnknownReason::ResponseTooLarge
                            || unknown.reason == UnknownReason::MemoryLimit;
    return isOwnLimit ? ObservedOutcome::Neutral : ObservedOutcome::Fault;
}

} // namespace

ObservedOutcome observedOutcomeOf(const AttemptResult &result)
{
    if (const auto *answered = std::get_if<Answered>(&result.outcome))
        return observedOutcomeOf(answered->response);
    if (const auto *notRun = std::get_if<NotRun>(&result.outcome))
        return observedOutcomeOf(*notRun);
    return observedOutcomeOf(std::get<Unknown>(result.outcome));
}

} // namespace Sapphireladder
