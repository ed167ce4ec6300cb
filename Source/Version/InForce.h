#pragma once

#include "Version/PresetSnapshot.h"

#include <string>
#include <string_view>
#include <vector>

namespace Sapphireladder {

/** An accepted switch, kept so that repeating its operation is recognised. */
struct AcceptedOperation
{
    OperationId operation;
    PresetVersion version = 0;
};

/** Content of the one row that says which preset is in force. */
struct InForce
{
    PresetVersion version = 0;
    PresetName preset;
    ContentDigest digest;
    OperationId operation;
    std::string author;
    /** The newest operations, this one included, newest last. */
    std::vector<AcceptedOperation> recent;
};

/** How many operations the row remembers. */
constexpr std::size_t recentOperationLimit = 16;

/** What an operator asks for. */
struct SwitchRequest
{
    PresetName preset;
    ContentDigest digest;
    OperationId operation;
    std::string author;
    /** Version that the operator saw; 0 accepts any. */
    PresetVersion expectedVersion = 0;
};

/** How an operator's switch ended. */
enum class SwitchStatus {
    Accepted,
    Conflict,
    Refused,
    Unknown,
};

/** @return the status as a word for messages and logs. */
std::string_view nameOf(SwitchStatus status);

/** End of an operator's switch. */
struct SwitchResult
{
    SwitchStatus status = SwitchStatus::Unknown;
    /** Row in force, as far as it is known: the winner's for a conflict. */
    InForce inForce;
    /** Why it was refused or is unknown. */
    std::error_code reason;
};

/** What to do with a request, given the row that was read. */
struct SwitchPlan
{
    /** Set if the request has ended without a write. */
    bool done = false;
    SwitchResult result;
    /** Row to write on condition that the row read is unchanged. */
    InForce next;
};

/**
 * Decides on a switch from the row that was read.
 * @param request what the operator asks for
 * @param current row in force; version 0 if there is none
 * @return a final result or the row to write.
 */
SwitchPlan planSwitch(const SwitchRequest &request, const InForce &current);

/**
 * Resolves a write whose answer was lost, or that found the row changed, from a later read.
 * @param request what the operator asked for
 * @param current row read after the write
 * @return Accepted if the row remembers the operation, else Conflict with the winner's row.
 */
SwitchResult resolveSwitch(const SwitchRequest &request, const InForce &current);

} // namespace Sapphireladder
