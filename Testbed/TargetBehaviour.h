#pragma once

#include "Testbed/AnswerStyle.h"
#include "Testbed/FieldTable.h"
#include "Testbed/SlotQueue.h"

namespace Sapphireladder::Testbed {

/** How service times are distributed. */
struct ServiceTimeStyle
{
    std::string_view name;
    /** @param median half of the times are below it @param sigma spread of the logarithm */
    Duration (*draw)(Duration median, double sigma, RandomSource &random);
};

/** What a target knows when it states its load. */
struct LoadFacts
{
    unsigned inFlight = 0;
    unsigned slots = 0;
    /** Load when the behaviour was last changed. */
    unsigned inFlightAtChange = 0;
};

/** How a target states its load. */
struct ReportStyle
{
    std::string_view name;
    unsigned (*state)(const LoadFacts &facts);
};

/** Which requests are refused at once. */
struct RejectStyle
{
    std::string_view name;
    bool rejects = false;
    /** The refusal carries the shed mark. */
    bool marked = false;
};

/** Which connections are read from but never answered. */
struct SilenceStyle
{
    std::string_view name;
    /** @param openedAt when the connection was opened @param changedAt start of the silence */
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

/** How a stand-in target behaves. Every field can be changed while it runs. */
struct TargetBehaviour
{
    SlotLimits limits;
    Duration serviceTime = std::chrono::milliseconds(10);
    const ServiceTimeStyle *serviceTimeStyle = serviceTimeStyles().data();
    double sigma = 0.177;
    double stragglerFactor = 1;
    /** Time after the start during which the target is slow; zero if it starts warm. */
    Duration coldStart{};
    double coldFactor = 5;
    NoiseOptions noise;
    bool draining = false;
    const RejectStyle *reject = rejectStyles().data();
    const SilenceStyle *silent = silenceStyles().data();
    const AnswerStyle *answer = answerStyles().data();
    /** Share of the requests that get the `answer` style; the others are answered whole. */
    double answerShare = 1;
    const ReportStyle *report = reportStyles().data();
    /** Bytes added to each answer's body. */
    unsigned padding = 0;
    std::uint64_t seed = 1;
};

/** @return every field by name. */
std::span<const Field<TargetBehaviour>> targetFields();

} // namespace Sapphireladder::Testbed
