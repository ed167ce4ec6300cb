#pragma once

#include "Core/Core.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Sapphireladder {

/** Largest response body in bytes that is stored for duplicates of a request. */
constexpr std::size_t maxRecordedBodySize = 4 * kibibyte;

/** The part of a response that is stored for duplicates of its request. */
struct RecordedResponse
{
    unsigned status = 0;
    std::string contentType;
    /** Absent if larger than maxRecordedBodySize: a duplicate must not get a truncated response. */
    std::optional<std::string> body;
};

/** Key of a claim's row. The views are valid during the request. */
struct ClaimKey
{
    std::string_view service;
    std::string_view key;
};

/** Content of a claim's row: one request's exclusive right to run under its idempotency key. */
struct Claim
{
    /** Random and never reused, so that a request can identify its own row. */
    ClaimId id;
    ContentDigest fingerprint;
    VmId vm;
    /** Absent until the response has been recorded. */
    std::optional<RecordedResponse> response;
};

/** Result of a conditional write of a claim's row. */
enum class ClaimWriteStatus {
    Written,
    /** The condition did not hold. Nothing was written, and nothing will be. */
    ConditionFailed,
    /** The store rejected the write. Nothing was written, and nothing will be. */
    NotWritten,
    /** The store's response was lost. The write may have taken effect, or may still do so. */
    Unknown,
    Count,
};

/** Result of a conditional write, with the new tag. */
struct ClaimWriteResult
{
    ClaimWriteStatus status = ClaimWriteStatus::Unknown;
    /** Entity tag of the row that was written. */
    std::string tag;
};

/** A claim that was read, with the entity tag of its row. */
struct StoredClaim
{
    Claim claim;
    std::string tag;
};

/** Why a read returned no claim. */
enum class ClaimReadError {
    /** The row does not exist. */
    NoRow,
    /** The row exists, but its content is not a valid claim. */
    InvalidClaim,
    /** The store did not respond. */
    ReadFailed,
    Count,
};

using ClaimReadResult = std::variant<StoredClaim, ClaimReadError>;

} // namespace Sapphireladder
