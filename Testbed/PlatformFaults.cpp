#include "Testbed/Testbed.h"

namespace Sapphireladder::Testbed {

namespace {

using F = PlatformFaults;

bool setOldRowLate(F &faults, std::string_view text)
{
    // Longer than any deadline of a call, so that only a newer write ends the hold.
    constexpr Duration longest = std::chrono::seconds(30);
    bool on = false;
    if (!parseValue(text, on))
        return parseValue(text, faults.oldRowLate);
    faults.oldRowLate = on ? longest : Duration::zero();
    return true;
}

} // namespace

std::span<const OutageStyle> outageStyles()
{
    static constexpr OutageStyle styles[] = {
            {"false", CallFate::Served},
            {"true", CallFate::Closed},
            {"close", CallFate::Closed},
            {"refuse", CallFate::Refused},
    };
    return styles;
}

std::span<const Field<PlatformFaults>> platformFields()
{
    static constexpr Field<F> fields[] = {
            {"down", "false, close (or true) or refuse", setMember<&F::down>},
            {"delay", "time that every call is held back", setMember<&F::delay>},
            {"delayed_writes", "time that writes are held back before they take effect",
             setMember<&F::delayedWrites>},
            {"lose_answers", "share of the writes that take effect without an answer",
             setMember<&F::loseAnswers>},
            {"old_row_late", "false, true or the longest time that a read row waits for a write",
             setOldRowLate},
            {"only_path", "start of the paths that meet the faults", setMember<&F::onlyPath>},
            {"vm_list_lag", "age that a VM list must have before it is shown",
             setMember<&F::vmListLag>},
            {"seed", "seed of random choices", setMember<&F::seed>},
    };
    return fields;
}

} // namespace Sapphireladder::Testbed
