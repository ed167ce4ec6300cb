#pragma once

#include "Core/Core.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Sapphireladder {

/** Largest body in bytes that is kept for repeats of a key. */
constexpr std::size_t recordedBodyLimit = 4 * kibibyte;

/** What is kept of an answer for repeats of its key. */
struct RecordedAnswer
{
    unsigned status = 0;
    std::string contentType;
    /** Absent if it is larger than recordedBodyLimit: a repeat must not get a piece of an answer.
     */
    std::optional<std::string> body;
};

/** Names a claim's row. The views are valid during the request. */
struct ClaimKey
{
    std::string_view service;
    std::string_view key;
};

/** Content of a claim's row: one request's right to run under its key. */
struct Claim
{
    /** Random and never used for another request, so that a holder knows its own row. */
    ClaimId id;
    ContentDigest fingerprint;
    VmId vm;
    /** Absent until the holder has recorded the answer. */
    std::optional<RecordedAnswer> answer;
};

/** How a conditional write of a claim's row ended. */
enum class ClaimWriteStatus {
    Written,
    /** The row was not as the condition says. Nothing was written, and nothing will be. */
    ConditionFailed,
    /** The store did not take the write. Nothing was written, and nothing will be. */
    NotWritten,
    /** The answer was lost. The write may have taken effect, or may still do so. */
    Unknown,
    Count,
};

/** End of a conditional write. */
struct ClaimWrite
{
    ClaimWriteStatus status = ClaimWriteStatus::Unknown;
    /** Tag of the row that was written. */
    std::string tag;
};

/** A claim that was read, with the tag of its row. */
struct StoredClaim
{
    Claim claim;
    std::string tag;
};

/** Why a read gave no claim. */
enum class ClaimAbsence {
    /** The row does not exist. */
    NoRow,
    /** The row exists, but its content is no claim. */
    NotAClaim,
    /** The store gave no answer. */
    ReadFailed,
    Count,
};

using ClaimRead = std::variant<StoredClaim, ClaimAbsence>;

} // namespace Sapphireladder
