#include "Process/Process.h"

namespace Sapphireladder {

namespace {

SwitchResult ended(SwitchStatus status, std::error_code reason)
{
    return {status, {}, reason};
}

/** Reads the row after a write that may or may not have taken effect. */
SwitchResult readBack(const SwitchRequest &request, PresetStore &store)
{
    const auto row = store.readInForce();
    if (!row)
        return ended(SwitchStatus::Unknown, row.error().code);
    auto result = resolveSwitch(request, row.value().inForce);
    // The lost write may still be on its way, so its absence proves nothing yet, unless another
    // switch has changed the tag that the write depends on.
    if (result.status == SwitchStatus::Conflict
        && row.value().inForce.version < request.expectedVersion + 1)
        return {SwitchStatus::Unknown, row.value().inForce,
                make_error_code(ProcessError::StoreUnavailable)};
    return result;
}

} // namespace

SwitchResult switchPreset(SwitchRequest request, PresetStore &store)
{
    const auto row = store.readInForce();
    if (!row)
        return ended(SwitchStatus::Refused, row.error().code);
    if (request.digest.isEmpty()) {
        auto digest = store.readDigest(request.preset);
        if (!digest)
            return ended(SwitchStatus::Refused, digest.error().code);
        request.digest = std::move(digest.value());
    }
    const auto &current = row.value();
    auto plan = planSwitch(request, current.inForce);
    if (plan.isComplete)
        return plan.result;
    const auto write = store.writeInForce(plan.nextRow, current.tag);
    switch (write.status) {
    case WriteStatus::Written:
        return {SwitchStatus::Accepted, std::move(plan.nextRow), {}};
    case WriteStatus::NotWritten:
        return ended(SwitchStatus::Refused, make_error_code(ProcessError::StoreUnavailable));
    case WriteStatus::ConditionFailed:
    case WriteStatus::Unknown:
        break;
    }
    request.expectedVersion = current.inForce.version;
    return readBack(request, store);
}

} // namespace Sapphireladder
