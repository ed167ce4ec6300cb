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

unsigned reportActualLoad(const LoadState &load)
{
    return load.inFlight;
}

unsigned reportIdle(const LoadState &)
{
    return 0;
}

unsigned reportFull(const LoadState &load)
{
    return load.slots;
}

unsigned reportLoadAtChange(const LoadState &load)
{
    return load.loadAtChange;
}

bool neverSilent(TimePoint, TimePoint)
{
    return false;
}

bool silentIfOpenedBefore(TimePoint openedAt, TimePoint changedAt)
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

std::span<const ServiceTimeDistribution> serviceTimeDistributions()
{
    static constexpr ServiceTimeDistribution modes[] = {
            {"constant", drawConstant},
            {"log-normal", drawLogNormal},
    };
    return modes;
}

std::span<const LoadReportMode> loadReportModes()
{
    static constexpr LoadReportMode modes[] = {
            {"honest", reportActualLoad},
            {"idle", reportIdle},
            {"full", reportFull},
            {"frozen", reportLoadAtChange},
    };
    return modes;
}

std::span<const RejectMode> rejectModes()
{
    static constexpr RejectMode modes[] = {
            {"none", false, false},
            {"plain", true, false},
            {"marked", true, true},
    };
    return modes;
}

std::span<const SilentMode> silentModes()
{
    static constexpr SilentMode modes[] = {
            {"none", neverSilent},
            {"existing", silentIfOpenedBefore},
            {"all", alwaysSilent},
    };
    return modes;
}

std::span<const Field<TargetBehaviour>> targetFields()
{
    static constexpr Field<B> fields[] = {
            {"slots", "requests executed concurrently", setSlots},
            {"queue", "requests that may wait for a slot",
             [](B &b, std::string_view text) { return parseValue(text, b.limits.queue); }},
            {"service_time", "median service time of a request, such as 10ms",
             setMember<&B::serviceTime>},
            {"distribution", "distribution of service times: constant or log-normal",
             setMember<&B::serviceTimeDistribution>},
            {"sigma", "standard deviation of the logarithm of log-normal service times",
             setMember<&B::sigma>},
            {"straggler_factor", "factor on every service time", setMember<&B::stragglerFactor>},
            {"cold_start", "duration of slow service after the start", setMember<&B::coldStart>},
            {"cold_factor", "additional factor on service times during the cold start",
             setMember<&B::coldFactor>},
            {"noise_share", "share of the slots that a noisy neighbour occupies during a burst",
             [](B &b, std::string_view text) { return parseValue(text, b.noise.share); }},
            {"noise_burst", "mean duration of the noisy neighbour's bursts",
             [](B &b, std::string_view text) { return parseValue(text, b.noise.burst); }},
            {"noise_gap", "mean time between the noisy neighbour's bursts",
             [](B &b, std::string_view text) { return parseValue(text, b.noise.gap); }},
            {"draining", "true to report that the target is draining", setMember<&B::draining>},
            {"reject", "immediate rejections: none, plain or marked with the shed header",
             setMember<&B::rejectMode>},
            {"silent", "connections that get no response: none, existing or all",
             setMember<&B::silentMode>},
            {"answer",
             "response mode: whole, reset, twice, twice-late, earlier, cut, cut-chunk, no-length "
             "or both-framings",
             setMember<&B::responseMode>},
            {"answer_share", "share of the requests that get this response mode",
             setMember<&B::responseModeShare>},
            {"report", "reported load: honest, idle, full or frozen",
             setMember<&B::loadReportMode>},
            {"padding", "bytes added to each response body", setMember<&B::padding>},
            {"seed", "seed of the random number generator", setMember<&B::seed>},
    };
    return fields;
}

} // namespace Sapphireladder::Testbed
