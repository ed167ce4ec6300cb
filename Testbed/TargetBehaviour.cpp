#include "Testbed/Testbed.h"

#include <cmath>
#include <numbers>

namespace Sapphireladder::Testbed {

namespace {

Duration drawConstant(Duration median, double, RandomSource &)
{
    return median;
}

Duration drawLogNormal(Duration median, double sigma, RandomSource &random)
{
    // Box-Muller transform. 1 - unit() is greater than 0, so the logarithm is finite.
    const double radius = std::sqrt(-2 * std::log(1 - random.unit()));
    const double normal = radius * std::cos(2 * std::numbers::pi * random.unit());
    return fromSeconds(toSeconds(median) * std::exp(sigma * normal));
}

unsigned stateHonest(const LoadFacts &facts)
{
    return facts.inFlight;
}

unsigned stateIdle(const LoadFacts &)
{
    return 0;
}

unsigned stateFull(const LoadFacts &facts)
{
    return facts.slots;
}

unsigned stateFrozen(const LoadFacts &facts)
{
    return facts.inFlightAtChange;
}

bool neverSilent(TimePoint, TimePoint)
{
    return false;
}

bool silentIfOlder(TimePoint openedAt, TimePoint changedAt)
{
    return openedAt < changedAt;
}

bool alwaysSilent(TimePoint, TimePoint)
{
    return true;
}

using B = TargetBehaviour;

bool setSlots(B &behaviour, std::string_view text)
{
    return parseValue(text, behaviour.limits.slots) && behaviour.limits.slots > 0;
}

} // namespace

std::span<const ServiceTimeStyle> serviceTimeStyles()
{
    static constexpr ServiceTimeStyle styles[] = {
            {"constant", drawConstant},
            {"log-normal", drawLogNormal},
    };
    return styles;
}

std::span<const ReportStyle> reportStyles()
{
    static constexpr ReportStyle styles[] = {
            {"honest", stateHonest},
            {"idle", stateIdle},
            {"full", stateFull},
            {"frozen", stateFrozen},
    };
    return styles;
}

std::span<const RejectStyle> rejectStyles()
{
    static constexpr RejectStyle styles[] = {
            {"none", false, false},
            {"plain", true, false},
            {"marked", true, true},
    };
    return styles;
}

std::span<const SilenceStyle> silenceStyles()
{
    static constexpr SilenceStyle styles[] = {
            {"none", neverSilent},
            {"existing", silentIfOlder},
            {"all", alwaysSilent},
    };
    return styles;
}

std::span<const Field<TargetBehaviour>> targetFields()
{
    static constexpr Field<B> fields[] = {
            {"slots", "requests executed concurrently", setSlots},
            {"queue", "requests that may wait for a slot",
             [](B &b, std::string_view text) { return parseValue(text, b.limits.queue); }},
            {"service_time", "median service time of a request, such as 10ms",
             setMember<&B::serviceTime>},
            {"distribution", "constant or log-normal", setMember<&B::serviceTimeStyle>},
            {"sigma", "spread of log-normal service times", setMember<&B::sigma>},
            {"straggler_factor", "factor on every service time", setMember<&B::stragglerFactor>},
            {"cold_start", "duration of slow service after the start", setMember<&B::coldStart>},
            {"cold_factor", "factor on service times while cold", setMember<&B::coldFactor>},
            {"noise_share", "share of the slots that a noisy neighbour occupies",
             [](B &b, std::string_view text) { return parseValue(text, b.noise.share); }},
            {"noise_burst", "mean duration of the noisy neighbour's bursts",
             [](B &b, std::string_view text) { return parseValue(text, b.noise.burst); }},
            {"noise_gap", "mean time between the noisy neighbour's bursts",
             [](B &b, std::string_view text) { return parseValue(text, b.noise.gap); }},
            {"draining", "true or false", setMember<&B::draining>},
            {"reject", "none, plain or marked", setMember<&B::reject>},
            {"silent", "none, existing or all", setMember<&B::silent>},
            {"answer",
             "whole, reset, twice, twice-late, earlier, cut, cut-chunk, no-length or both-framings",
             setMember<&B::answer>},
            {"answer_share", "share of the requests that are answered as the option answer says",
             setMember<&B::answerShare>},
            {"report", "honest, idle, full or frozen", setMember<&B::report>},
            {"padding", "bytes added to each response body", setMember<&B::padding>},
            {"seed", "seed of the random number generator", setMember<&B::seed>},
    };
    return fields;
}

} // namespace Sapphireladder::Testbed
