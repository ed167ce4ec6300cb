#pragma once

#include "Version/PresetSnapshot.h"

#include <string>
#include <string_view>
#include <vector>

namespace Sapphireladder {

/** An accepted switch, kept so that a retry of the same operation is recognized. */
struct AcceptedOperation
{
    OperationId operation;
    PresetVersion version = 0;
};

/** The row of the store that names the active preset. There is exactly one such row. */
struct ActivePreset
{
    PresetVersion version = 0;
    PresetName preset;
    ContentDigest digest;
    OperationId operation;
    std::string author;
    /** Most recent accepted operations including `operation`, oldest first. */
    std::vector<AcceptedOperation> recentOperations;
};

/** Maximum number of operations kept in the row. */
constexpr std::size_t maxRecentOperations = 16;

/** An operator's request to make a preset the active one. */
struct SwitchRequest
{
    PresetName preset;
    ContentDigest digest;
    OperationId operation;
    std::string author;
    /** Version that the operator expects to replace; 0 matches any version. */
    PresetVersion expectedVersion = 0;
};

/** Outcome of a switch request. */
enum class SwitchStatus {
    Accepted,
    Conflict,
    Refused,
    Unknown,
};

/** @return the name of the status in messages and logs. */
std::string_view nameOf(SwitchStatus status);

/** Result of a switch request. */
struct SwitchResult
{
    SwitchStatus status = SwitchStatus::Unknown;
    /**
     * For an accepted switch, its version and preset, even if a later switch is active by now. For
     * a conflict, the row of the switch that won. Otherwise the current row as far as it is known.
     */
    ActivePreset activePreset;
    /** Reason for the status Refused or Unknown. */
    std::error_code reason;
};

/** Decision on a switch request, made from the row that was read. */
struct SwitchPlan
{
    /** Whether the request is complete without a write, so that `result` is final. */
    bool isComplete = false;
    SwitchResult result;
    /** Row to write otherwise, provided that the row has not changed since it was read. */
    ActivePreset nextRow;
};

/**
 * Decides whether a switch request is complete or which row it has to write.
 * @param request the operator's request
 * @param current row that was read; version 0 if there is none
 * @return a final result or the row to write.
 */
SwitchPlan planSwitch(const SwitchRequest &request, const ActivePreset &current);

/**
 * Determines from a later read how a write ended if its response was lost or its condition failed.
 * @param request the operator's request
 * @param current row read after the write
 * @return Accepted if the row lists the operation, else Conflict with the current row.
 */
SwitchResult resolveSwitch(const SwitchRequest &request, const ActivePreset &current);

} // namespace Sapphireladder
