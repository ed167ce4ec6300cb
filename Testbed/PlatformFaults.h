#pragma once

#include "Testbed/FieldTable.h"

namespace Sapphireladder::Testbed {

/** How the platform turns calls away. */
enum class CallFate {
    Served,
    /** The connection is closed without an answer and nothing takes effect. */
    Closed,
    /** An answer with status 503; nothing takes effect. */
    Refused,
};

/** One row of the table of outages. */
struct OutageStyle
{
    std::string_view name;
    CallFate fate = CallFate::Served;
};

std::span<const OutageStyle> outageStyles();

inline std::span<const OutageStyle> tableOf(const OutageStyle *)
{
    return outageStyles();
}

/** Faults of a stand-in platform. Every field can be changed while it runs. */
struct PlatformFaults
{
    const OutageStyle *down = outageStyles().data();
    /** Time that every call is held back before it takes effect. */
    Duration delay{};
    /** Time that writes are held back, in addition, before they take effect. */
    Duration delayedWrites{};
    /** Share of the writes that take effect without an answer, from 0 to 1. */
    double loseAnswers = 0;
    /** Longest time that a row which was read is held back for a newer write; zero for never. */
    Duration oldRowLate{};
    /** Only calls whose path starts with this meet the faults. */
    std::string onlyPath;
    /** Age that a VM list must have before it is shown. */
    Duration vmListLag{};
    std::uint64_t seed = 1;
};

/** @return every field by name. */
std::span<const Field<PlatformFaults>> platformFields();

} // namespace Sapphireladder::Testbed
