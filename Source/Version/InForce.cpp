#include "Version/Version.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

const AcceptedOperation *findOperation(const InForce &row, const OperationId &operation)
{
    const auto it = std::find_if(row.recent.begin(), row.recent.end(), [&](const auto &accepted) {
        return accepted.operation == operation;
    });
    return it == row.recent.end() ? nullptr : &*it;
}

} // namespace

std::string_view nameOf(SwitchStatus status)
{
    static constexpr std::string_view names[] = {"accepted", "conflict", "refused", "unknown"};
    return names[static_cast<std::size_t>(status)];
}

SwitchPlan planSwitch(const SwitchRequest &request, const InForce &current)
{
    SwitchPlan plan;
    plan.done = true;
    if (findOperation(current, request.operation)) {
        plan.result = resolveSwitch(request, current);
        return plan;
    }
    if (request.expectedVersion != 0 && request.expectedVersion != current.version) {
        plan.result = {SwitchStatus::Conflict, current, {}};
        return plan;
    }
    plan.done = false;
    plan.next = {current.version + 1, request.preset, request.digest,
                 request.operation,   request.author, current.recent};
    auto &recent = plan.next.recent;
    recent.push_back({request.operation, plan.next.version});
    if (recent.size() > recentOperationLimit)
        recent.erase(recent.begin());
    return plan;
}

SwitchResult resolveSwitch(const SwitchRequest &request, const InForce &current)
{
    const auto *accepted = findOperation(current, request.operation);
    if (!accepted)
        return {SwitchStatus::Conflict, current, {}};
    SwitchResult result{SwitchStatus::Accepted, current, {}};
    if (accepted->version == current.version)
        return result;
    // A later switch has replaced this one, but the operator gets the version that this one had.
    // The digest is unknown: the row does not keep it, and the preset may have a new text by now.
    result.inForce.version = accepted->version;
    result.inForce.preset = request.preset;
    result.inForce.digest = {};
    result.inForce.operation = request.operation;
    return result;
}

} // namespace Sapphireladder
