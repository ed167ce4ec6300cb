#pragma once

#include "Core/Core.h"

namespace Sapphireladder {

/** History of one connection to a target. */
struct ConnectionRecord
{
    TimePoint openedAt;
    /** End of the last whole answer; the opening time before the first. */
    TimePoint lastAnswerAt;
    unsigned answers = 0;
};

/** Longest time that a connection is kept without a request. */
constexpr Duration maxIdleTime = std::chrono::seconds(30);
/** Longest life of a connection. */
constexpr Duration maxConnectionAge = std::chrono::minutes(10);
/**
 * A non-idempotent request goes only on a connection that answered this recently. A connection that
 * lost its peer silently would leave the request's fate unknown, and it may not be repeated.
 */
constexpr Duration freshForNonIdempotent = std::chrono::seconds(1);

/** @return whether the pool may keep the connection. */
bool mayKeep(const ConnectionRecord &record, TimePoint now);

/** @return whether a request may go on the connection. */
bool mayReuse(const ConnectionRecord &record, bool idempotent, TimePoint now);

} // namespace Sapphireladder
