#include "Request/Request.h"

#include <algorithm>
#include <numeric>

namespace Sapphireladder {

namespace {

template<typename T>
void shuffle(std::vector<T> &items, RandomSource &random)
{
    for (std::size_t n = items.size(); n > 1; --n)
        std::swap(items[n - 1], items[random.below(n)]);
}

} // namespace

TargetSearch::TargetSearch(const SearchPolicy &policy, std::vector<SearchCandidate> candidates,
                           const SearchTimeLimits &timeLimits, RandomSource &random)
    : m_policy(policy)
    , m_candidates(std::move(candidates))
    , m_probeStates(m_candidates.size(), ProbeState::NotProbed)
    , m_probeOrder(m_candidates.size())
    , m_timeLimits(timeLimits)
{
    std::iota(m_probeOrder.begin(), m_probeOrder.end(), std::size_t{0});
    shuffle(m_probeOrder, random);
    std::stable_partition(m_probeOrder.begin(), m_probeOrder.end(),
                          [this](std::size_t i) { return m_candidates[i].isLocal; });
    std::stable_partition(m_probeOrder.begin(), m_probeOrder.end(),
                          [this](std::size_t i) { return m_candidates[i].isWarmupDue; });
}

SearchStep TargetSearch::next(TimePoint now)
{
    if (m_candidates.empty())
        return RefuseStep{RefusalReason::NoUsableTarget};
    if (m_policy.requiresIdleTarget && areFreeSlotsRare(now))
        return RefuseStep{RefusalReason::QueueFull};
    if (const auto warmup = findWarmup(now); warmup && !m_policy.requiresIdleTarget)
        return SendStep{*warmup};
    // A current report of another target must not prevent the probe of a cold one.
    const auto first = m_probeOrder.front();
    const auto &cold = m_candidates[first];
    if (cold.isWarmupDue && !m_policy.requiresIdleTarget && m_probeCount == 0
        && cold.probeBudget->canProbe(now)
        && !cold.stats->hasReportWithin(now, m_policy.currentReportMaxAge))
        return startProbeRound(now);
    if (cold.isWarmupDue && !m_policy.requiresIdleTarget
        && m_probeStates[first] == ProbeState::Pending && now < m_roundEndsAt)
        return WaitStep{m_roundEndsAt, false};
    if (const auto best = findBest(now, m_policy.currentReportMaxAge);
        best && costOf(*best, now) <= m_policy.immediateSendCost)
        return SendStep{*best};
    if (now < m_nextPassAt)
        return WaitStep{m_nextPassAt, true};
    if (m_pendingProbes > 0 && now < m_roundEndsAt)
        return WaitStep{m_roundEndsAt, false};
    if (auto round = startProbeRound(now); !round.candidates.empty())
        return round;
    return decideAfterProbing(now);
}

void TargetSearch::probeAnswered(std::size_t candidate)
{
    if (m_probeStates[candidate] == ProbeState::Pending && m_pendingProbes > 0)
        --m_pendingProbes;
    m_probeStates[candidate] = ProbeState::Answered;
}

void TargetSearch::probeFailed(std::size_t candidate)
{
    if (m_probeStates[candidate] == ProbeState::Pending && m_pendingProbes > 0)
        --m_pendingProbes;
    m_probeStates[candidate] = ProbeState::Failed;
}

std::optional<std::size_t> TargetSearch::findBest(TimePoint now,
                                                  std::optional<Duration> maxAge) const
{
    std::optional<std::size_t> found;
    double lowest = 0;
    // In the random order of this search, so that ties do not make all VMs choose the same target.
    for (const auto i : m_probeOrder) {
        const auto &stats = *m_candidates[i].stats;
        if (m_probeStates[i] == ProbeState::Failed || !hasFreeSlot(stats, now)
            || (maxAge && !stats.hasReportWithin(now, *maxAge)))
            continue;
        const double cost = costOf(i, now);
        if (!found || cost < lowest) {
            found = i;
            lowest = cost;
        }
    }
    return found;
}

std::optional<std::size_t> TargetSearch::findWarmup(TimePoint now) const
{
    for (const auto i : m_probeOrder) {
        // They are the first in the order.
        if (!m_candidates[i].isWarmupDue)
            break;
        const auto &stats = *m_candidates[i].stats;
        if (m_probeStates[i] != ProbeState::Failed && hasFreeSlot(stats, now)
            && stats.hasReportWithin(now, m_policy.currentReportMaxAge)
            && expectedEnd(costOf(i, now), now) <= m_timeLimits.objectiveAt)
            return i;
    }
    return std::nullopt;
}

TimePoint TargetSearch::expectedEnd(double cost, TimePoint now) const
{
    return now + duration_cast<Duration>(m_timeLimits.serviceTime * cost);
}

std::optional<std::size_t> TargetSearch::findBestWithoutAnswers(TimePoint now) const
{
    if (const auto recent = findBest(now, m_policy.usableReportMaxAge))
        return recent;
    if (m_timeLimits.requiresRecentReport && hasLoadReports())
        return std::nullopt;
    return areFreeSlotsRare(now) ? std::nullopt : findBest(now, std::nullopt);
}

ProbeStep TargetSearch::startProbeRound(TimePoint now)
{
    ProbeStep step;
    const auto round = m_probeCount == 0 ? m_policy.firstRoundSize : m_policy.nextRoundSize;
    const auto size = std::min(round, m_policy.maxProbesPerPass - m_probesInPass);
    while (m_nextProbe < m_probeOrder.size() && step.candidates.size() < size) {
        const auto i = m_probeOrder[m_nextProbe++];
        if (!m_candidates[i].probeBudget->canProbe(now)
            || m_candidates[i].stats->hasReportWithin(now, m_policy.currentReportMaxAge))
            continue;
        m_probeStates[i] = ProbeState::Pending;
        step.candidates.push_back(i);
    }
    // Late answers of earlier rounds are still used, but no longer waited for.
    m_pendingProbes = step.candidates.size();
    m_probeCount += step.candidates.size();
    m_probesInPass += step.candidates.size();
    m_roundEndsAt = now + m_policy.probeRoundTimeout;
    return step;
}

SearchStep TargetSearch::decideAfterProbing(TimePoint now)
{
    if (m_policy.requiresIdleTarget)
        return RefuseStep{RefusalReason::QueueFull};
    auto choice = findBest(now, m_policy.currentReportMaxAge);
    const bool hasAnswer = std::find(m_probeStates.begin(), m_probeStates.end(),
                                     ProbeState::Answered)
                           != m_probeStates.end();
    // Without any answer, falls back to earlier reports.
    if (!choice && !hasAnswer) {
        std::fill(m_probeStates.begin(), m_probeStates.end(), ProbeState::NotProbed);
        choice = findBestWithoutAnswers(now);
    }
    if (choice && expectedEnd(costOf(*choice, now), now) <= m_timeLimits.objectiveAt)
        return SendStep{*choice};
    if (expectedEnd(m_policy.immediateSendCost, now) + m_policy.passInterval
        <= m_timeLimits.objectiveAt)
        return waitForNextPass(now + m_policy.passInterval);
    // A late response is better than none as long as no other request needs the slot. Targets that
    // do not report their load are used all the same.
    const bool hasReport = choice && m_candidates[*choice].stats->reportAt();
    if (choice
        && (!hasReport
            || (!isLoadHighOrUnknown(now)
                && expectedEnd(costOf(*choice, now), now) <= m_timeLimits.deadline)))
        return SendStep{*choice};
    return RefuseStep{RefusalReason::QueueFull};
}

SearchStep TargetSearch::waitForNextPass(TimePoint nextPassAt)
{
    // The next pass continues with the targets that have not been probed yet.
    if (m_nextProbe >= m_probeOrder.size())
        m_nextProbe = 0;
    m_probesInPass = 0;
    std::fill(m_probeStates.begin(), m_probeStates.end(), ProbeState::NotProbed);
    m_pendingProbes = 0;
    m_nextPassAt = nextPassAt;
    return WaitStep{m_nextPassAt, true};
}

bool TargetSearch::isLoadHighOrUnknown(TimePoint now) const
{
    bool hasCurrentReport = false;
    for (const auto &it : m_candidates) {
        if (!it.stats->hasReportWithin(now, m_policy.currentReportMaxAge))
            continue;
        if (2 * it.stats->expectedLoad(now) >= it.stats->slots())
            return true;
        hasCurrentReport = true;
    }
    return !hasCurrentReport;
}

bool TargetSearch::hasLoadReports() const
{
    return std::any_of(m_candidates.begin(), m_candidates.end(),
                       [](const auto &it) { return it.stats->report().slots > 0; });
}

bool TargetSearch::areFreeSlotsRare(TimePoint now) const
{
    std::size_t reportCount = 0;
    std::size_t freeTargetCount = 0;
    for (const auto &it : m_candidates) {
        if (!it.stats->hasReportWithin(now, m_policy.scarcityWindow))
            continue;
        ++reportCount;
        if (it.stats->expectedLoad(now) < it.stats->slots())
            ++freeTargetCount;
    }
    return reportCount >= m_policy.minScarcityReports
           && static_cast<double>(freeTargetCount)
                      < m_policy.commonFreeSlotShare * static_cast<double>(reportCount);
}

bool TargetSearch::hasFreeSlot(const TargetStats &stats, TimePoint now) const
{
    if (m_policy.requiresIdleTarget)
        return 2 * stats.expectedLoad(now) < stats.slots();
    const unsigned reserved = now < m_timeLimits.reservesSlotUntil ? 1 : 0;
    return stats.expectedLoad(now) + reserved < std::max(stats.slots(), reserved + 1);
}

double TargetSearch::costOf(std::size_t candidate, TimePoint now) const
{
    return m_candidates[candidate].stats->cost(now);
}

} // namespace Sapphireladder
