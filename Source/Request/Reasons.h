#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Sapphireladder {

/** Why a request was refused without being run. Each reason has a counter. */
enum class RefusalReason : std::uint8_t {
    BadRequest,
    BadFraming,
    HeaderTooLarge,
    BodyTooLarge,
    UnknownService,
    /** The deadline passed before an attempt could start. */
    DeadlineExpired,
    /** The chain of calls has too many hops. */
    DepthExceeded,
    ConnectionLimit,
    NoPreset,
    QueueFull,
    /** The expected wait and service time exceed the time left. */
    DeadlineUnreachable,
    /** The deadline passed in the queue. */
    QueueTimeout,
    NoUsableTarget,
    /** An attempt was made, but the request did not reach its target. */
    TargetUnreachable,
    /** The target refused the request without running it. */
    TargetShed,
    ClaimStoreUnavailable,
    ClaimExpired,
    /** The idempotency key was used for another request. */
    KeyReused,
    Stopping,
    /** The connection ended before the request was complete. */
    RequestTruncated,
    /** The request was not received completely in time. */
    RequestTimeout,
    /** The time left is too short for an attempt. */
    TimeTooShort,
    /** All usable targets asked this VM to send nothing for a while. */
    TargetsPaused,
    /** The API key belongs to no workspace. */
    UnknownKey,
    /** The workspace has used up its allowance. */
    AllowanceExceeded,
    /** The messages of all connections together take up too much memory. */
    MemoryLimit,
    /** The expected load of more urgent requests leaves no room. */
    Overloaded,
    Count,
};

/** Why it is not known whether a request was run. Each reason has a counter. */
enum class UnknownReason : std::uint8_t {
    ConnectionReset,
    ResponseTimeout,
    /** The connection ended within the response. */
    ResponseTruncated,
    /** Neither Content-Length nor chunked encoding marks the end of the response. */
    ResponseWithoutLength,
    /** The response is malformed, or its framing fields conflict. */
    InvalidResponseFraming,
    /** The response belongs to another request, or is not signed by a target. */
    ResponseMismatch,
    ResponseTooLarge,
    /** The messages of all connections together take up too much memory. */
    MemoryLimit,
    /** The status promises that the request was not run, and the target does not state it. */
    UnconfirmedRefusal,
    /** Another request with the same idempotency key was accepted and may have run. */
    AlreadyAccepted,
    Count,
};

/** Why an attempt was retried. Each reason has a counter. */
enum class RetryReason : std::uint8_t {
    ConnectFailed,
    /** A reused connection was already closed by the target. */
    StaleConnection,
    /** The target refused the request without running it. */
    Shed,
    ConnectionReset,
    ResponseTimeout,
    ResponseTruncated,
    ResponseMismatch,
    /** The target responded with a server error. */
    TargetFailed,
    /** The address belongs to another target now. */
    Misdirected,
    Count,
};

/** Why a failed attempt was not retried. Each reason has a counter. */
enum class RetryDenial : std::uint8_t {
    NotIdempotent,
    BudgetEmpty,
    /** Another attempt is not expected to end before the deadline. */
    DeadlineNear,
    AttemptLimit,
    RetriedByEarlierHop,
    Count,
};

/** Why no hedge was sent beside an attempt. Each reason has a counter. */
enum class HedgeDenial : std::uint8_t {
    /** Too few latencies of the route are known. */
    TooFewSamples,
    /** A hedge would start too late for the latency objective, or too early for few hedges. */
    ObjectiveNear,
    /** The configured share of requests has been hedged. */
    RatioReached,
    /** What is left of the retry budget is kept for retries. */
    RetryBudgetLow,
    /** The workspace has no allowance left at this VM. */
    AllowanceUsedUp,
    /** No other target reports itself as idle. */
    NoIdleTarget,
    Count,
};

/** @return the reason's name in metrics and in the Sapphireladder-Reason header. */
std::string_view nameOf(RefusalReason reason);
std::string_view nameOf(UnknownReason reason);
std::string_view nameOf(RetryReason reason);
std::string_view nameOf(RetryDenial denial);
std::string_view nameOf(HedgeDenial denial);

} // namespace Sapphireladder
