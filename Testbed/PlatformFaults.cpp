#include "Testbed/Testbed.h"

namespace Sapphireladder::Testbed {

namespace {

using Faults = PlatformFaults;

bool setMaxStaleReadDelay(Faults &faults, std::string_view text)
{
    // Longer than the deadline of any call, so that only a newer write ends the delay.
    constexpr Duration maxDelay = std::chrono::seconds(30);
    bool enabled = false;
    if (!parseValue(text, enabled))
        return parseValue(text, faults.maxStaleReadDelay);
    faults.maxStaleReadDelay = enabled ? maxDelay : Duration::zero();
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
    static constexpr Field<Faults> fields[] = {
            {"down", "outage: false, close (or true) or refuse", setMember<&Faults::outage>},
            {"delay", "delay of every call before it takes effect", setMember<&Faults::delay>},
            {"delayed_writes", "additional delay of writes before they take effect",
             setMember<&Faults::writeDelay>},
            {"lose_answers", "share of the writes that take effect without a response",
             setMember<&Faults::lostResponseShare>},
            {"old_row_late",
             "maximum time that the response to a read is held until a newer write, true (30 s) or "
             "false",
             setMaxStaleReadDelay},
            {"only_path", "path prefix of the calls that the faults apply to",
             setMember<&Faults::onlyPath>},
            {"vm_list_lag", "minimum age of the VM list that is returned",
             setMember<&Faults::vmListLag>},
            {"seed", "seed of the random number generator", setMember<&Faults::seed>},
    };
    return fields;
}

} // namespace Sapphireladder::Testbed
