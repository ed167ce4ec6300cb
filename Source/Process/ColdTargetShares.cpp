#include "Process/Process.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

/** Largest limit on the requests to a cold target that can be counted. */
constexpr double maxLimit = 1e6;

} // namespace

void ColdTargetShares::update(const RouteTable *routes, unsigned fleetSize,
                              const GatewaySettings &settings, TimePoint now)
{
    m_fleetSize.record(fleetSize, now);
    m_shares.clear();
    if (!routes)
        return;
    for (const auto &it : routes->services()) {
        if (it.warmupRequestsPerSecond <= 0)
            continue;
        const auto limit = it.warmupRequestsPerSecond * settings.warmupFactor
                           + settings.warmupSlack;
        m_shares[it.name] = coldTargetShare(static_cast<unsigned>(std::min(limit, maxLimit)),
                                            m_fleetSize.bound(now).value_or(fleetSize));
    }
}

std::optional<unsigned> ColdTargetShares::allowance(const ServiceName &service, const VmId &vm,
                                                    const TargetRecord &target) const
{
    const auto share = m_shares.find(service);
    if (share == m_shares.end())
        return std::nullopt;
    const bool isSelected = maySendToColdTarget(share->second, vm, target.id, target.incarnation);
    return isSelected ? share->second.requestsPerSecond : 0;
}

} // namespace Sapphireladder
