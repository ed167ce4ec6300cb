#include "Connection/Connection.h"

namespace Sapphireladder {

bool mayKeep(const ConnectionRecord &record, TimePoint now)
{
    return now - record.lastAnswerAt < maxIdleTime && now - record.openedAt < maxConnectionAge;
}

bool mayReuse(const ConnectionRecord &record, bool idempotent, TimePoint now)
{
    if (!mayKeep(record, now))
        return false;
    return idempotent || now - record.lastAnswerAt < freshForNonIdempotent;
}

} // namespace Sapphireladder
