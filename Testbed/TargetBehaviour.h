#pragma once

#include "Testbed/FieldTable.h"
#include "Testbed/ResponseMode.h"
#include "Testbed/SlotQueue.h"

namespace Sapphireladder::Testbed {

/** A named distribution of service times. */
struct ServiceTimeStyle
{
    std::string_view name;
    /** @param median median of the distribution @param sigma standard deviation of the logarithm */
    Duration (*draw)(Duration median, double sigma, RandomSource &random);
};

/** Input of a load report. */
struct LoadFacts
{
    unsigned inFlight = 0;
    unsigned slots = 0;
    /** Load at the last change of behaviour. */
    unsigned inFlightAtChange = 0;
};

/** A named way to report load, which may be wrong on purpose. */
struct ReportStyle
{
    std::string_view name;
    unsigned (*state)(const LoadFacts &facts);
};

/** A named way to reject requests immediately. */
struct RejectStyle
{
    std::string_view name;
    bool rejects = false;
    /** The response contains the shed mark. */
    bool marked = false;
};

/** A named choice of the connections that get no responses, although their requests are read. */
struct SilenceStyle
{
    std::string_view name;
    /** @param openedAt time the connection was opened @param changedAt time the style was set */
    bool (*isSilent)(TimePoint openedAt, TimePoint changedAt);
};

std::span<const ServiceTimeStyle> serviceTimeStyles();
std::span<const ReportStyle> reportStyles();
std::span<const RejectStyle> rejectStyles();
std::span<const SilenceStyle> silenceStyles();

inline std::span<const ServiceTimeStyle> tableOf(const ServiceTimeStyle *)
{
    return serviceTimeStyles();
}
inline std::span<const ReportStyle> tableOf(const ReportStyle *)
{
    return reportStyles();
}
inline std::span<const RejectStyle> tableOf(const RejectStyle *)
{
    return rejectStyles();
}
inline std::span<const SilenceStyle> tableOf(const SilenceStyle *)
{
    return silenceStyles();
}

/** Behaviour of a fake target. Every field can be changed while it runs. */
struct TargetBehaviour
{
    SlotLimits limits;
    Duration serviceTime = std::chrono::milliseconds(10);
    const ServiceTimeStyle *serviceTimeStyle = serviceTimeStyles().data();
    double sigma = 0.177;
    double stragglerFactor = 1;
    /** Duration of slow service after the start; zero for none. */
    Duration coldStart{};
    double coldFactor = 5;
    NoiseOptions noise;
    bool draining = false;
    const RejectStyle *reject = rejectStyles().data();
    const SilenceStyle *silent = silenceStyles().data();
    const ResponseMode *answer = responseModes().data();
    /** Share of the requests that get the `answer` style; the others get correct responses. */
    double answerShare = 1;
    const ReportStyle *report = reportStyles().data();
    /** Bytes added to each response body. */
    unsigned padding = 0;
    std::uint64_t seed = 1;
};

/** @return every field by name. */
std::span<const Field<TargetBehaviour>> targetFields();

} // namespace Sapphireladder::Testbed
