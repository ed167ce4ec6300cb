#include "Testbed/Testbed.h"

namespace Sapphireladder::Testbed {

namespace {

using F = PlatformFaults;

bool setOldRowLate(F &faults, std::string_view text)
{
    // Longer than the deadline of any call, so that only a newer write ends the delay.
    constexpr Duration maxDelay = std::chrono::seconds(30);
    bool enabled = false;
    if (!parseValue(text, enabled))
        return parseValue(text, faults.oldRowLate);
    faults.oldRowLate = enabled ? maxDelay : Duration::zero();
    return true;
}

} // namespace

std::span<const OutageMode> outageModes()
{
    static constexpr OutageMode modes[] = {
            {"false", CallOutcome::Served},
            {"true", CallOutcome::Closed},
            {"close", CallOutcome::Closed},
            {"refuse", CallOutcome::Refused},
    };
    return modes;
}

std::span<const Field<PlatformFaults>> platformFields()
{
    static constexpr Field<F> fields[] = {
            {"down", "false, close (or true) or refuse", setMember<&F::down>},
            {"delay", "delay of every call", setMember<&F::delay>},
            {"delayed_writes", "additional delay of writes before they take effect",
             setMember<&F::delayedWrites>},
            {"lose_answers", "share of the writes that take effect without a response",
             setMember<&F::loseAnswers>},
            {"old_row_late",
             "false, true or the maximum time that a read is delayed until a newer write",
             setOldRowLate},
            {"only_path", "path prefix of the calls that the faults apply to",
             setMember<&F::onlyPath>},
            {"vm_list_lag", "minimum age of the VM list that is returned",
             setMember<&F::vmListLag>},
            {"seed", "seed of the random number generator", setMember<&F::seed>},
    };
    return fields;
}

} // namespace Sapphireladder::Testbed
