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

using Behaviour = TargetBehaviour;

bool setSlots(Behaviour &behaviour, std::string_view text)
{
    return parseValue(text, behaviour.limits.slots) && behaviour.limits.slots > 0;
}

} // namespace

std::span<const ServiceTimeDistribution> serviceTimeDistributions()
{
    static constexpr ServiceTimeDistribution distributions[] = {
            {"constant", drawConstant},
            {"log-normal", drawLogNormal},
    };
    return distributions;
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
    static constexpr Field<Behaviour> fields[] = {
            {"slots", "requests executed concurrently", setSlots},
            {"queue", "requests that may wait for a slot",
             [](Behaviour &behaviour, std::string_view text) {
                 return parseValue(text, behaviour.limits.queue);
             }},
            {"service_time", "median service time of a request, such as 10ms",
             setMember<&Behaviour::serviceTime>},
            {"distribution", "distribution of service times: constant or log-normal",
             setMember<&Behaviour::serviceTimeDistribution>},
            {"sigma", "standard deviation of the logarithm of log-normal service times",
             setMember<&Behaviour::sigma>},
            {"straggler_factor", "factor on every service time",
             setMember<&Behaviour::stragglerFactor>},
            {"cold_start", "duration of slow service after the start",
             setMember<&Behaviour::coldStart>},
            {"cold_factor", "additional factor on service times during the cold start",
             setMember<&Behaviour::coldFactor>},
            {"noise_share", "share of the slots that a noisy neighbour occupies during a burst",
             [](Behaviour &behaviour, std::string_view text) {
                 return parseValue(text, behaviour.noise.share);
             }},
            {"noise_burst", "mean duration of the noisy neighbour's bursts",
             [](Behaviour &behaviour, std::string_view text) {
                 return parseValue(text, behaviour.noise.burst);
             }},
            {"noise_gap", "mean time between the noisy neighbour's bursts",
             [](Behaviour &behaviour, std::string_view text) {
                 return parseValue(text, behaviour.noise.gap);
             }},
            {"draining", "true to report that the target is draining",
             setMember<&Behaviour::draining>},
            {"reject", "immediate rejections: none, plain or marked with the shed header",
             setMember<&Behaviour::rejectMode>},
            {"silent", "connections that get no response: none, existing or all",
             setMember<&Behaviour::silentMode>},
            {"answer",
             "response mode: whole, reset, twice, twice-late, earlier, cut, cut-chunk, no-length "
             "or both-framings",
             setMember<&Behaviour::responseMode>},
            {"answer_share", "share of the requests that get this response mode",
             setMember<&Behaviour::responseModeShare>},
            {"report", "reported load: honest, idle, full or frozen",
             setMember<&Behaviour::loadReportMode>},
            {"padding", "bytes added to each response body", setMember<&Behaviour::padding>},
            {"seed", "seed of the random number generator", setMember<&Behaviour::seed>},
    };
    return fields;
}

} // namespace Sapphireladder::Testbed
