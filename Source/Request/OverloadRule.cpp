#include "Request/Request.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Sapphireladder {

namespace {

/** Weight below which a priority is no longer part of the demand. */
constexpr double minDemandWeight = 0.05;

/** Age up to which reports count: bursts last for seconds. */
constexpr Duration reportMaxAge = std::chrono::seconds(1);
/** Number of reports below which the occupancy is unknown. */
constexpr std::size_t minReports = 3;

} // namespace

std::optional<double> meanOccupancy(std::span<const TargetStats *const> targets, TimePoint now)
{
    double sum = 0;
    std::size_t n = 0;
    for (const auto *it : targets) {
        if (!it->hasReportWithin(now, reportMaxAge))
            continue;
        const double slots = std::max(1U, it->slots());
        sum += std::min(1.0, it->expectedLoad(now) / slots);
        ++n;
    }
    if (n < minReports)
        return std::nullopt;
    return sum / static_cast<double>(n);
}

std::optional<OverloadRefusal> OverloadRule::decide(const RequestPriority &priority,
                                                    std::optional<double> occupancy, double unit,
                                                    TimePoint now)
{
    if (m_policy.minShare <= 0)
        return std::nullopt;
    record(priority, now);
    adapt(occupancy, now);
    if (m_admittedShare >= 1.0)
        return std::nullopt;
    double total = 0;
    double moreUrgent = 0;
    for (const auto &[other, demand] : m_demands) {
        const double weight = weightOf(demand, now);
        total += weight;
        moreUrgent += other < priority ? weight : 0;
    }
    const double own = weightOf(m_demands.at(priority), now);
    const double room = (m_admittedShare * total - moreUrgent) / own;
    const double share = std::clamp(room, m_policy.minShare, 1.0);
    if (unit < share)
        return std::nullopt;
    // Half of the requests of this priority have room by then.
    const double needed = (moreUrgent + own / 2) / total - m_admittedShare;
    const double periods = std::max(1.0, std::ceil(needed / m_policy.increase));
    return OverloadRefusal{duration_cast<Duration>(m_policy.period * periods)};
}

void OverloadRule::adapt(std::optional<double> occupancy, TimePoint now)
{
    // A single value depends on whether a target has just ended a request.
    if (occupancy) {
        m_occupancySum += *occupancy;
        ++m_occupancyCount;
    }
    if (now - m_adaptedAt < m_policy.period)
        return;
    const auto mean = m_occupancySum / std::max(1U, m_occupancyCount);
    const bool isKnown = std::exchange(m_occupancyCount, 0) > 0;
    m_occupancySum = 0;
    const auto periods = std::floor(toSeconds(now - m_adaptedAt) / toSeconds(m_policy.period));
    m_adaptedAt = now;
    if (isKnown && mean > m_policy.highOccupancy)
        m_admittedShare = std::max(m_policy.minShare, m_admittedShare * m_policy.decrease);
    // Without reports nothing is known of an overload.
    else if (!isKnown || mean < m_policy.lowOccupancy)
        m_admittedShare = std::min(1.0, m_admittedShare + m_policy.increase * periods);
}

void OverloadRule::record(const RequestPriority &priority, TimePoint now)
{
    std::erase_if(m_demands,
                  [&](const auto &it) { return weightOf(it.second, now) < minDemandWeight; });
    auto &demand = m_demands[priority];
    demand = {weightOf(demand, now) + 1.0, now};
}

double OverloadRule::weightOf(const Demand &demand, TimePoint now) const
{
    return demand.weight
           * std::exp2(-toSeconds(now - demand.updatedAt) / toSeconds(m_policy.demandHalfLife));
}

} // namespace Sapphireladder
