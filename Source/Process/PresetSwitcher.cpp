#include "Process/Process.h"

namespace Sapphireladder {

namespace {

SwitchResult makeResult(SwitchStatus status, std::error_code reason)
{
    return {status, {}, reason};
}

/** Determines the result of a write with an unknown outcome by reading the row again. */
SwitchResult resolveByReading(const SwitchRequest &request, PresetStore &store)
{
    const auto row = store.readActivePreset();
    if (!row)
        return makeResult(SwitchStatus::Unknown, row.error().code);
    auto result = resolveSwitch(request, row.value().activePreset);
    // The write may still be in transit, so an unchanged row proves nothing. Only after another
    // switch has changed the tag can the write no longer take effect.
    if (result.status == SwitchStatus::Conflict
        && row.value().activePreset.version < request.expectedVersion + 1)
        return {SwitchStatus::Unknown, row.value().activePreset,
                make_error_code(ProcessError::StoreUnavailable)};
    return result;
}

} // namespace

SwitchResult switchPreset(SwitchRequest request, PresetStore &store)
{
    const auto row = store.readActivePreset();
    if (!row)
        return makeResult(SwitchStatus::Refused, row.error().code);
    if (request.digest.isEmpty()) {
        auto digest = store.readDigest(request.preset);
        if (!digest)
            return makeResult(SwitchStatus::Refused, digest.error().code);
        request.digest = std::move(digest.value());
    }
    const auto &current = row.value();
    auto plan = planSwitch(request, current.activePreset);
    if (plan.isComplete)
        return plan.result;
    const auto write = store.writeActivePreset(plan.nextRow, current.tag);
    switch (write.status) {
    case WriteStatus::Written:
        return {SwitchStatus::Accepted, std::move(plan.nextRow), {}};
    case WriteStatus::NotWritten:
        return makeResult(SwitchStatus::Refused, make_error_code(ProcessError::StoreUnavailable));
    case WriteStatus::ConditionFailed:
    case WriteStatus::Unknown:
        break;
    }
    request.expectedVersion = current.activePreset.version;
    return resolveByReading(request, store);
}

} // namespace Sapphireladder
