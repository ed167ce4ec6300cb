#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Sapphireladder {

/** Why a caller was told that its request was not run. Each has a counter. */
enum class RefusalReason : std::uint8_t {
    BadRequest,
    BadFraming,
    HeaderTooLarge,
    BodyTooLarge,
    UnknownService,
    DeadlineExpired,
    DepthExceeded,
    ConnectionLimit,
    NoPreset,
    QueueFull,
    DeadlineUnreachable,
    QueueTimeout,
    NoUsableTarget,
    TargetUnreachable,
    TargetShed,
    ClaimStoreUnavailable,
    ClaimExpired,
    KeyReused,
    Stopping,
    RequestCut,
    RequestTimeout,
    /** Too little time is left for a target to run the request. */
    TimeTooShort,
    Count,
};

/** Why the fate of a request is not known. Each has a counter. */
enum class UnknownReason : std::uint8_t {
    ConnectionReset,
    AnswerTimeout,
    AnswerCut,
    AnswerWithoutLength,
    AnswerFraming,
    AnswerMismatch,
    AnswerTooLarge,
    AlreadyAccepted,
    Count,
};

/** Why an attempt was repeated. Each has a counter. */
enum class RetryReason : std::uint8_t {
    ConnectFailed,
    StaleConnection,
    Shed,
    ConnectionReset,
    AnswerTimeout,
    AnswerCut,
    AnswerMismatch,
    /** The target ran the request and failed. */
    TargetFailed,
    /** Another target answered at the address. */
    Misdirected,
    Count,
};

/** Why an attempt was not repeated although it failed. Each has a counter. */
enum class RetryDenial : std::uint8_t {
    NotIdempotent,
    BudgetEmpty,
    DeadlineNear,
    AttemptLimit,
    AttemptMark,
    Count,
};

/** @return the reason's name, as in counters and in the Sapphireladder-Reason header. */
std::string_view nameOf(RefusalReason reason);
std::string_view nameOf(UnknownReason reason);
std::string_view nameOf(RetryReason reason);
std::string_view nameOf(RetryDenial denial);

} // namespace Sapphireladder
