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
    /** The time left is too short for an attempt. */
    TimeTooShort,
    Count,
};

/** Why it is not known whether a request was run. Each reason has a counter. */
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

/** Why an attempt was retried. Each reason has a counter. */
enum class RetryReason : std::uint8_t {
    ConnectFailed,
    StaleConnection,
    Shed,
    ConnectionReset,
    AnswerTimeout,
    AnswerCut,
    AnswerMismatch,
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
    DeadlineNear,
    AttemptLimit,
    AttemptMark,
    Count,
};

/** @return the reason's name in metrics and in the Sapphireladder-Reason header. */
std::string_view nameOf(RefusalReason reason);
std::string_view nameOf(UnknownReason reason);
std::string_view nameOf(RetryReason reason);
std::string_view nameOf(RetryDenial denial);

} // namespace Sapphireladder
