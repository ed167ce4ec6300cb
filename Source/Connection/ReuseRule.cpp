#include "Connection/Connection.h"

namespace Sapphireladder {

Reuse reuseFor(const RequestInfo &info, const RetryPolicy &policy, unsigned attempt)
{
    if (attempt > 0)
        return Reuse::None;
    const bool repeatable = info.idempotent && info.priorAttempts == 0 && policy.maxAttempts > 1;
    return repeatable ? Reuse::Any : Reuse::Recent;
}

bool mayKeep(const ConnectionRecord &record, TimePoint now)
{
    return now - record.lastAnswerAt < maxIdleTime && now - record.openedAt < maxConnectionAge;
}

bool mayReuse(const ConnectionRecord &record, Reuse reuse, TimePoint now)
{
    if (reuse == Reuse::None || !mayKeep(record, now))
        return false;
    return reuse == Reuse::Any || now - record.lastAnswerAt < freshForNonIdempotent;
}

TimePoint attemptDeadline(Reuse reuse, TimePoint now, TimePoint deadline)
{
    // With half of the time, a retry has as much as the first attempt had.
    return reuse == Reuse::Any ? now + (deadline - now) / 2 : deadline;
}

} // namespace Sapphireladder
