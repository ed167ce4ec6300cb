#include "Request/Request.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace Sapphireladder {

namespace {

/** Used until the first response. Any value works: if all are equal, load per slot decides. */
constexpr Duration unknownServiceTime = std::chrono::milliseconds(1);

} // namespace

CandidateMeans meansOf(std::span<const TargetCandidate> candidates)
{
    CandidateMeans means;
    std::size_t reportCount = 0;
    std::int64_t serviceTimeCount = 0;
    Duration serviceTimeSum{};
    for (const auto &it : candidates) {
        if (it.reportAge) {
            means.reportedUtilization += static_cast<double>(it.reportedInFlight) / it.slots;
            ++reportCount;
        }
        if (it.serviceTime > Duration::zero()) {
            serviceTimeSum += it.serviceTime;
            ++serviceTimeCount;
        }
    }
    if (reportCount > 0)
        means.reportedUtilization /= static_cast<double>(reportCount);
    means.serviceTime = serviceTimeCount > 0 ? serviceTimeSum / serviceTimeCount
                                             : unknownServiceTime;
    return means;
}

double estimateLoad(const TargetCandidate &candidate, const CandidateMeans &means,
                    Duration reportHalfLife)
{
    double freshness = 0;
    if (candidate.reportAge) {
        freshness = std::exp2(-static_cast<double>(candidate.reportAge->count())
                              / static_cast<double>(reportHalfLife.count()));
    }
    // Completed requests are subtracted from the reported load, so their weight decays with the
    // report's. Requests sent by this VM count in full whatever the age of the report.
    const double own = candidate.ownSinceReport;
    const double load = freshness * candidate.reportedInFlight
                        + (1 - freshness) * means.reportedUtilization * candidate.slots
                        + (own > 0 ? own : freshness * own);
    return std::max(load, static_cast<double>(candidate.ownInFlight));
}

Duration estimateWait(const TargetCandidate &candidate, const CandidateMeans &means,
                      Duration reportHalfLife)
{
    const auto serviceTime = candidate.serviceTime > Duration::zero() ? candidate.serviceTime
                                                                      : means.serviceTime;
    // The new request counts too. Otherwise all idle targets would have an expected wait of 0,
    // whatever their speed.
    const double share = (estimateLoad(candidate, means, reportHalfLife) + 1) / candidate.slots;
    return duration_cast<Duration>(serviceTime * share);
}

std::size_t AgedEstimateSelector::select(std::span<const TargetCandidate> candidates,
                                         const RoutingPolicy &policy, RandomSource &random)
{
    const auto means = meansOf(candidates);
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    const auto sampleSize = std::min<std::size_t>(policy.sampleSize, order.size());
    std::size_t best = 0;
    Duration lowest = Duration::max();
    for (std::size_t i = 0; i < sampleSize; ++i) {
        std::swap(order[i], order[i + random.below(order.size() - i)]);
        const auto &candidate = candidates[order[i]];
        const auto wait = estimateWait(candidate, means, policy.reportHalfLife)
                          + (candidate.isInSameZone ? Duration::zero() : policy.zoneMargin);
        if (wait < lowest) {
            lowest = wait;
            best = order[i];
        }
    }
    return best;
}

} // namespace Sapphireladder
