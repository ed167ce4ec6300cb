#include "Process/Process.h"

namespace Sapphireladder {

ServiceEstimate estimateService(std::span<const TargetView> targets)
{
    ServiceEstimate estimate;
    double measuredSlots = 0;
    double rate = 0;
    for (const auto &it : targets) {
        if (!it.isUsable())
            continue;
        const auto slots = it.usableSlots();
        estimate.slots += slots;
        estimate.inFlight += it.load->ownInFlight();
        const auto serviceTime = it.load->serviceTime();
        if (serviceTime > Duration::zero()) {
            measuredSlots += slots;
            rate += slots / static_cast<double>(serviceTime.count());
        }
    }
    // Weighted by rate, because a slow target serves few of the requests.
    if (rate > 0)
        estimate.serviceTime = Duration(static_cast<std::int64_t>(measuredSlots / rate));
    return estimate;
}

Duration expectedWait(const ServiceEstimate &estimate, std::size_t ahead)
{
    if (estimate.slots == 0)
        return Duration::zero();
    const auto rounds = static_cast<double>(ahead + 1) / estimate.slots;
    return duration_cast<Duration>(estimate.serviceTime * rounds);
}

bool canMeetDeadline(const ServiceEstimate &estimate, Duration wait, Duration remaining)
{
    // With nothing in flight, no response would correct the estimate, and an outdated one could
    // refuse all requests forever. One request at a time is sent in that case.
    if (estimate.inFlight == 0)
        return remaining > Duration::zero();
    return wait + estimate.serviceTime < remaining;
}

} // namespace Sapphireladder
