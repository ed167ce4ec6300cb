#include "Version/Version.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

const AcceptedOperation *findOperation(const ActivePreset &row, const OperationId &operation)
{
    const auto it = std::find_if(
            row.recentOperations.begin(), row.recentOperations.end(),
            [&](const auto &accepted) { return accepted.operation == operation; });
    return it == row.recentOperations.end() ? nullptr : &*it;
}

} // namespace

std::string_view nameOf(SwitchStatus status)
{
    static constexpr std::string_view names[] = {"accepted", "conflict", "refused", "unknown"};
    return names[static_cast<std::size_t>(status)];
}

SwitchPlan planSwitch(const SwitchRequest &request, const ActivePreset &current)
{
    SwitchPlan plan;
    plan.isComplete = true;
    if (findOperation(current, request.operation)) {
        plan.result = resolveSwitch(request, current);
        return plan;
    }
    if (request.expectedVersion != 0 && request.expectedVersion != current.version) {
        plan.result = {SwitchStatus::Conflict, current, {}};
        return plan;
    }
    plan.isComplete = false;
    plan.nextRow = {current.version + 1, request.preset, request.digest,
                    request.operation,   request.author, current.recentOperations};
    auto &recentOperations = plan.nextRow.recentOperations;
    recentOperations.push_back({request.operation, plan.nextRow.version});
    if (recentOperations.size() > maxRecentOperations)
        recentOperations.erase(recentOperations.begin());
    return plan;
}

SwitchResult resolveSwitch(const SwitchRequest &request, const ActivePreset &current)
{
    const auto *accepted = findOperation(current, request.operation);
    if (!accepted)
        return {SwitchStatus::Conflict, current, {}};
    SwitchResult result{SwitchStatus::Accepted, current, {}};
    if (accepted->version == current.version)
        return result;
    // A later switch is active, but the operator gets the version of the requested one.
    // The digest is unknown: the row does not keep it, and the preset may have a new text by now.
    result.activePreset.version = accepted->version;
    result.activePreset.preset = request.preset;
    result.activePreset.digest = {};
    result.activePreset.operation = request.operation;
    return result;
}

} // namespace Sapphireladder
