#pragma once

#include "Testbed/FieldTable.h"

namespace Sapphireladder::Testbed {

/** What the platform does with a call. */
enum class CallOutcome {
    Served,
    /** The connection is closed without a response and the call has no effect. */
    Closed,
    /** The response has status 503 and the call has no effect. */
    Refused,
};

/** A named kind of outage. */
struct OutageMode
{
    std::string_view name;
    CallOutcome outcome = CallOutcome::Served;
};

/** @return all modes; the first one is no outage. */
std::span<const OutageMode> outageModes();

inline std::span<const OutageMode> tableOf(const OutageMode *)
{
    return outageModes();
}

/** Faults that the fake platform injects. Every field can be changed while it runs. */
struct PlatformFaults
{
    /** What happens to every call. The first mode is no outage. */
    const OutageMode *outage = outageModes().data();
    /** Delay of every call before it takes effect. */
    Duration delay{};
    /** Additional delay of writes before they take effect. */
    Duration writeDelay{};
    /** Share of the writes that take effect without a response, from 0 to 1. */
    double lostResponseShare = 0;
    /**
     * Maximum time that the response to a read is held until a newer write makes it stale. Zero
     * for no delay.
     */
    Duration maxStaleReadDelay{};
    /** Path prefix of the calls that the faults apply to. */
    std::string onlyPath;
    /** Minimum age of the VM list that is returned. */
    Duration vmListLag{};
    std::uint64_t seed = 1;
};

/** @return the fields that can be set by name. */
std::span<const Field<PlatformFaults>> platformFields();

} // namespace Sapphireladder::Testbed
