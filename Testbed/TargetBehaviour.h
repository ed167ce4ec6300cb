#pragma once

#include "Testbed/FieldTable.h"
#include "Testbed/ResponseMode.h"
#include "Testbed/SlotQueue.h"

namespace Sapphireladder::Testbed {

/** A named distribution of service times. */
struct ServiceTimeDistribution
{
    std::string_view name;
    /** @param median median of the distribution @param sigma standard deviation of the logarithm */
    Duration (*draw)(Duration median, double sigma, RandomSource &random);
};

/** Load of a target, from which a load report is made. */
struct LoadState
{
    unsigned inFlight = 0;
    unsigned slots = 0;
    /** Load at the last change of behaviour. */
    unsigned loadAtChange = 0;
};

/** A named way to report load, which may be deliberately wrong. */
struct LoadReportMode
{
    std::string_view name;
    unsigned (*reportedLoad)(const LoadState &load);
};

/** A named way to reject requests immediately. */
struct RejectMode
{
    std::string_view name;
    bool rejects = false;
    /** Whether the response contains the shed mark. */
    bool isMarked = false;
};

/** A named rule for the connections whose requests are read but get no response. */
struct SilentMode
{
    std::string_view name;
    /** @param openedAt time the connection was opened @param changedAt time the mode was set */
    bool (*isSilent)(TimePoint openedAt, TimePoint changedAt);
};

std::span<const ServiceTimeDistribution> serviceTimeDistributions();
std::span<const LoadReportMode> loadReportModes();
std::span<const RejectMode> rejectModes();
std::span<const SilentMode> silentModes();

inline std::span<const ServiceTimeDistribution> tableOf(const ServiceTimeDistribution *)
{
    return serviceTimeDistributions();
}
inline std::span<const LoadReportMode> tableOf(const LoadReportMode *)
{
    return loadReportModes();
}
inline std::span<const RejectMode> tableOf(const RejectMode *)
{
    return rejectModes();
}
inline std::span<const SilentMode> tableOf(const SilentMode *)
{
    return silentModes();
}

/** Behaviour of a fake target. Every field can be changed while it runs. */
struct TargetBehaviour
{
    SlotLimits limits;
    Duration serviceTime = std::chrono::milliseconds(10);
    const ServiceTimeDistribution *serviceTimeDistribution = serviceTimeDistributions().data();
    /** Standard deviation of the logarithm of log-normal service times. */
    double sigma = 0.177;
    /** Factor on every service time, to simulate a slow instance. */
    double stragglerFactor = 1;
    /** Duration of slow service after the start; zero for none. */
    Duration coldStart{};
    /** Additional factor on service times during the cold start. */
    double coldFactor = 5;
    NoiseOptions noise;
    /** Whether the target reports that it is draining. It still serves requests. */
    bool draining = false;
    const RejectMode *rejectMode = rejectModes().data();
    const SilentMode *silentMode = silentModes().data();
    const ResponseMode *responseMode = responseModes().data();
    /** Share of the requests that get the `responseMode`; the others get correct responses. */
    double responseModeShare = 1;
    const LoadReportMode *loadReportMode = loadReportModes().data();
    /** Bytes added to each response body. */
    unsigned padding = 0;
    std::uint64_t seed = 1;
};

/** @return the fields that can be set by name. */
std::span<const Field<TargetBehaviour>> targetFields();

} // namespace Sapphireladder::Testbed
