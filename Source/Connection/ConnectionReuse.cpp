#include "Connection/Connection.h"

namespace Sapphireladder {

ReusePolicy reusePolicyFor(const RequestInfo &info, const RetryPolicy &policy, unsigned attempt)
{
    if (attempt > 0)
        return ReusePolicy::None;
    const bool repeatable = info.idempotent && info.priorAttempts == 0 && policy.maxAttempts > 1;
    return repeatable ? ReusePolicy::Any : ReusePolicy::Recent;
}

bool canKeep(const ConnectionHistory &history, TimePoint now)
{
    return now - history.lastResponseAt < maxIdleTime && now - history.openedAt < maxConnectionAge;
}

bool canReuse(const ConnectionHistory &history, ReusePolicy reuse, TimePoint now)
{
    if (reuse == ReusePolicy::None || !canKeep(history, now))
        return false;
    return reuse == ReusePolicy::Any || now - history.lastResponseAt < maxRecentResponseAge;
}

TimePoint attemptDeadline(ReusePolicy reuse, TimePoint now, TimePoint deadline)
{
    // Half of the remaining time, so that a retry has as much as the first attempt.
    return reuse == ReusePolicy::Any ? now + (deadline - now) / 2 : deadline;
}

} // namespace Sapphireladder
