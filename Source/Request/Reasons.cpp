#include "Request/Request.h"

#include <array>

namespace Sapphireladder {

namespace {

/** Names in metrics and on the wire, by enumerator. They stay if an enumerator is renamed. */
template<typename Enum>
using NameTable = std::array<std::string_view, static_cast<std::size_t>(Enum::Count)>;

constexpr NameTable<RefusalReason> refusalNames = {
        "bad-request",
        "bad-framing",
        "header-too-large",
        "body-too-large",
        "unknown-service",
        "deadline-expired",
        "depth-exceeded",
        "connection-limit",
        "no-preset",
        "queue-full",
        "deadline-unreachable",
        "queue-timeout",
        "no-usable-target",
        "target-unreachable",
        "target-shed",
        "claim-store-unavailable",
        "claim-expired",
        "key-reused",
        "stopping",
        "request-cut",
        "request-timeout",
        "time-too-short",
        "targets-paused",
        "unknown-key",
        "allowance-exceeded",
        "memory-limit",
        "overloaded",
};

constexpr NameTable<UnknownReason> unknownNames = {
        "connection-reset", "answer-timeout",   "answer-cut",       "answer-without-length",
        "answer-framing",   "answer-mismatch",  "answer-too-large", "memory-limit",
        "answer-refusal",   "already-accepted",
};

constexpr NameTable<RetryReason> retryNames = {
        "connect-failed", "stale-connection", "shed",          "connection-reset", "answer-timeout",
        "answer-cut",     "answer-mismatch",  "target-failed", "misdirected",
};

constexpr NameTable<RetryDenial> denialNames = {
        "not-idempotent", "budget-empty", "deadline-near", "attempt-limit", "attempt-mark",
};

constexpr NameTable<HedgeDenial> hedgeDenialNames = {
        "too-few-samples",  "objective-near",    "ratio-reached",
        "retry-budget-low", "allowance-used-up", "no-idle-target",
};

} // namespace

std::string_view nameOf(RefusalReason reason)
{
    return refusalNames.at(static_cast<std::size_t>(reason));
}

std::string_view nameOf(UnknownReason reason)
{
    return unknownNames.at(static_cast<std::size_t>(reason));
}

std::string_view nameOf(RetryReason reason)
{
    return retryNames.at(static_cast<std::size_t>(reason));
}

std::string_view nameOf(RetryDenial denial)
{
    return denialNames.at(static_cast<std::size_t>(denial));
}

std::string_view nameOf(HedgeDenial denial)
{
    return hedgeDenialNames.at(static_cast<std::size_t>(denial));
}

} // namespace Sapphireladder
