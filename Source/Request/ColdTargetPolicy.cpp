#include "Request/Request.h"

#include <boost/math/special_functions/beta.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Sapphireladder {

namespace {

/** Without long double, which has no hardware support on arm64. */
using DoublePrecision = boost::math::policies::policy<boost::math::policies::promote_double<false>>;

} // namespace

ColdTargetShare coldTargetShare(unsigned fleetLimit, unsigned vms)
{
    if (fleetLimit == 0)
        return {};
    if (vms <= fleetLimit)
        return {1.0,
                std::min(fleetLimit / std::max(1U, vms), ColdTargetBudget::maxCountedRequests)};
    // The selected VMs are binomially distributed. This is the probability of selection at which
    // more than the limit are selected with the tolerated probability.
    const double excess = fleetLimit + 1.0;
    return {boost::math::ibeta_inv(excess, vms - excess + 1.0, maxColdOvershootProbability,
                                   DoublePrecision()),
            1};
}

bool maySendToColdTarget(const ColdTargetShare &share, const VmId &vm, const TargetId &target,
                         Incarnation incarnation)
{
    if (share.selectionProbability >= 1.0)
        return true;
    const auto seed = XXH3_64bits_withSeed(vm.view().data(), vm.view().size(), incarnation);
    const auto hash = XXH3_64bits_withSeed(target.view().data(), target.view().size(), seed);
    const double fraction = static_cast<double>(hash)
                            / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return fraction < share.selectionProbability;
}

void FleetSizeBound::record(unsigned vms, TimePoint now)
{
    while (!m_sizes.empty() && m_sizes.back().vms <= vms)
        m_sizes.pop_back();
    for (auto &it : m_sizes)
        it.replacedAt = it.replacedAt.value_or(now);
    m_sizes.push_back({vms, std::nullopt});
}

std::optional<unsigned> FleetSizeBound::bound(TimePoint now)
{
    while (!m_sizes.empty() && m_sizes.front().replacedAt
           && now - *m_sizes.front().replacedAt > retention)
        m_sizes.pop_front();
    if (m_sizes.empty())
        return std::nullopt;
    return static_cast<unsigned>(std::ceil(m_sizes.front().vms * growthMargin));
}

void ColdTargetBudget::setAllowance(std::optional<unsigned> requests)
{
    m_allowance = requests;
    discardOld();
}

void ColdTargetBudget::registryReported(Duration warmupLeft, TimePoint now)
{
    m_registryReportAt = now;
    m_coldByRegistryUntil = now + warmupLeft;
}

void ColdTargetBudget::probeReported(Duration warmupLeft, TimePoint probeSentAt, TimePoint now)
{
    m_coldByProbeUntil = now + warmupLeft;
    // A probe that was sent before the record arrived may have been answered before the target
    // turned cold.
    if (probeSentAt >= m_registryReportAt)
        m_coldByRegistryUntil = {};
}

void ColdTargetBudget::requestSent(TimePoint now)
{
    if (!isLimited())
        return;
    m_sentAt.push_back(now);
    discardOld();
}

void ColdTargetBudget::discardOld()
{
    // One is kept without an allowance, too: this VM may be selected when the fleet shrinks.
    const std::size_t kept = isLimited() ? std::max(1U, *m_allowance) : 0;
    while (m_sentAt.size() > kept)
        m_sentAt.pop_front();
}

bool ColdTargetBudget::canSend(TimePoint now) const
{
    if (!isLimited() || !isCold(now))
        return true;
    if (!hasAllowance() || now < m_unknownUntil)
        return false;
    return m_sentAt.size() < *m_allowance || now - m_sentAt.front() >= window;
}

bool ColdTargetBudget::isWarmupDue(TimePoint now) const
{
    return isLimited() && isCold(now) && canSend(now);
}

} // namespace Sapphireladder
