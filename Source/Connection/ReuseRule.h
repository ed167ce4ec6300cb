#pragma once

#include "Core/Core.h"
#include "Request/Request.h"

#include <cstdint>

namespace Sapphireladder {

/** History of one connection to a target. */
struct ConnectionRecord
{
    TimePoint openedAt;
    /** End of the last whole answer; the opening time before the first. */
    TimePoint lastAnswerAt;
    unsigned answers = 0;
};

/** Which of the pooled connections an attempt may go on. */
enum class Reuse : std::uint8_t {
    /** None: the attempt repeats one that may have failed because connections went silent. */
    None,
    /** One that answered a moment ago: the attempt cannot be repeated if the connection is silent.
     */
    Recent,
    /** Any that may be kept: the attempt is repeated on a new connection if this one is silent. */
    Any,
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
/**
 * Connections that a process has open to one target before it closes idle ones. A target allows
 * about 200, shared by up to 15 VMs. Requests in flight are bounded by the target's slots.
 */
constexpr std::size_t maxConnectionsPerTarget = 200 / 15;

/** @return which pooled connections an attempt may go on. @param attempt 0 for the first attempt */
Reuse reuseFor(const RequestInfo &info, const RetryPolicy &policy, unsigned attempt);

/** @return whether the pool may keep the connection. */
bool mayKeep(const ConnectionRecord &record, TimePoint now);

/** @return whether an attempt may go on the connection. */
bool mayReuse(const ConnectionRecord &record, Reuse reuse, TimePoint now);

/**
 * Bounds an attempt on a pooled connection that may be silent, so that time remains for another.
 * @return the time at which the attempt is given up, at most `deadline`.
 */
TimePoint attemptDeadline(Reuse reuse, TimePoint now, TimePoint deadline);

} // namespace Sapphireladder
