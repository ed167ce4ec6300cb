#pragma once

#include "Core/Core.h"
#include "Request/Request.h"

#include <cstdint>

namespace Sapphireladder {

/** History of one connection to a target. */
struct ConnectionHistory
{
    TimePoint openedAt;
    /** End of the last complete response; equals openedAt before the first. */
    TimePoint lastResponseAt;
    unsigned responseCount = 0;
};

/** Which pooled connections an attempt may reuse. */
enum class ReusePolicy : std::uint8_t {
    /** None: the attempt is a retry of one that may have failed on a connection without a peer. */
    None,
    /** One with a recent response: the attempt cannot be retried if the connection lost its peer.
     */
    Recent,
    /** Any: the attempt is retried on a new connection if there is no response on this one. */
    Any,
};

/** Maximum time that a connection is kept without a request. */
constexpr Duration maxIdleTime = std::chrono::seconds(30);
/** Maximum lifetime of a connection. */
constexpr Duration maxConnectionAge = std::chrono::minutes(10);
/**
 * Maximum age of the last response on a connection that a non-idempotent request may reuse. If the
 * connection had lost its peer unnoticed, it would be unknown whether the request ran, and the
 * request must not be retried.
 */
constexpr Duration maxRecentResponseAge = std::chrono::seconds(1);
/**
 * Number of open connections to one target above which idle ones are closed. A target allows about
 * 200, shared by up to 15 VMs. Requests in flight are limited separately, by the target's slots.
 */
constexpr std::size_t maxConnectionsPerTarget = 200 / 15;

/** @param attempt 0 for the first attempt */
ReusePolicy reusePolicyFor(const RequestInfo &info, const RetryPolicy &policy, unsigned attempt);

/** @return whether the pool may keep the connection. */
bool canKeep(const ConnectionHistory &history, TimePoint now);

/** @return whether an attempt may reuse the connection. */
bool canReuse(const ConnectionHistory &history, ReusePolicy reuse, TimePoint now);

/**
 * Limits an attempt on a pooled connection that may have lost its peer, so that time remains for a
 * retry.
 * @return the time at which the attempt is abandoned, at most `deadline`.
 */
TimePoint attemptDeadline(ReusePolicy reuse, TimePoint now, TimePoint deadline);

} // namespace Sapphireladder
