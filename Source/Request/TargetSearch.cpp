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
                           const SearchTime &time, RandomSource &random)
    : m_policy(policy)
    , m_candidates(std::move(candidates))
    , m_states(m_candidates.size(), State::Unasked)
    , m_order(m_candidates.size())
    , m_time(time)
{
    std::iota(m_order.begin(), m_order.end(), std::size_t{0});
    shuffle(m_order, random);
    std::stable_partition(m_order.begin(), m_order.end(),
                          [this](std::size_t i) { return m_candidates[i].isLocal; });
}

SearchStep TargetSearch::next(TimePoint now)
{
    if (m_candidates.empty())
        return RefuseStep{RefusalReason::NoUsableTarget};
    if (const auto good = best(now, m_policy.freshFor);
        good && costOf(*good, now) <= m_policy.goodCost)
        return SendStep{*good};
    if (now < m_pauseEnd)
        return WaitStep{m_pauseEnd, true};
    if (m_outstanding > 0 && now < m_roundEnd)
        return WaitStep{m_roundEnd, false};
    if (auto round = askRound(now); !round.candidates.empty())
        return round;
    return decideAfterAll(now);
}

void TargetSearch::answered(std::size_t candidate)
{
    if (m_states[candidate] == State::Asked && m_outstanding > 0)
        --m_outstanding;
    m_states[candidate] = State::Answered;
}

void TargetSearch::failed(std::size_t candidate)
{
    if (m_states[candidate] == State::Asked && m_outstanding > 0)
        --m_outstanding;
    m_states[candidate] = State::Failed;
}

std::optional<std::size_t> TargetSearch::best(TimePoint now, std::optional<Duration> maxAge) const
{
    std::optional<std::size_t> found;
    double lowest = 0;
    // In the random order of this search, so that ties do not make all VMs choose the same target.
    for (const auto i : m_order) {
        const auto &figures = *m_candidates[i].figures;
        if (m_states[i] == State::Failed || !hasRoom(figures, now)
            || (maxAge && !figures.isFresh(now, *maxAge)))
            continue;
        const double cost = costOf(i, now);
        if (!found || cost < lowest) {
            found = i;
            lowest = cost;
        }
    }
    return found;
}

std::optional<std::size_t> TargetSearch::bestUntold(TimePoint now) const
{
    if (const auto recent = best(now, m_policy.usefulFor))
        return recent;
    return isRoomRare(now) ? std::nullopt : best(now, std::nullopt);
}

AskStep TargetSearch::askRound(TimePoint now)
{
    AskStep step;
    const auto round = m_askedCount == 0 ? m_policy.firstRound : m_policy.nextRound;
    const auto size = std::min(round, m_policy.maxAsked - m_askedInPass);
    while (m_nextInOrder < m_order.size() && step.candidates.size() < size) {
        const auto i = m_order[m_nextInOrder++];
        if (!m_candidates[i].probeBudget->canProbe(now)
            || m_candidates[i].figures->isFresh(now, m_policy.freshFor))
            continue;
        m_states[i] = State::Asked;
        step.candidates.push_back(i);
    }
    // Late answers of earlier rounds are still used, but no longer waited for.
    m_outstanding = step.candidates.size();
    m_askedCount += step.candidates.size();
    m_askedInPass += step.candidates.size();
    m_roundEnd = now + m_policy.roundTime;
    return step;
}

SearchStep TargetSearch::decideAfterAll(TimePoint now)
{
    auto choice = best(now, m_policy.freshFor);
    const bool isAnyTold = std::find(m_states.begin(), m_states.end(), State::Answered)
                           != m_states.end();
    // Without any answer, falls back to earlier reports.
    if (!choice && !isAnyTold) {
        std::fill(m_states.begin(), m_states.end(), State::Unasked);
        choice = bestUntold(now);
    }
    const auto endOf = [this, now](double cost) {
        return now + duration_cast<Duration>(m_time.work * cost);
    };
    if (choice && endOf(costOf(*choice, now)) <= m_time.objectiveAt)
        return SendStep{*choice};
    if (endOf(m_policy.goodCost) + m_policy.pause <= m_time.objectiveAt)
        return pauseUntil(now + m_policy.pause);
    // A late response is better than none as long as no other request needs the slot. Targets that
    // do not report their load are used all the same.
    const bool isTold = choice && m_candidates[*choice].figures->reportAt();
    if (choice
        && (!isTold || (!areSlotsScarce(now) && endOf(costOf(*choice, now)) <= m_time.deadline)))
        return SendStep{*choice};
    return RefuseStep{RefusalReason::QueueFull};
}

SearchStep TargetSearch::pauseUntil(TimePoint end)
{
    // The next pass continues with the targets that have not been probed yet.
    if (m_nextInOrder >= m_order.size())
        m_nextInOrder = 0;
    m_askedInPass = 0;
    std::fill(m_states.begin(), m_states.end(), State::Unasked);
    m_outstanding = 0;
    m_pauseEnd = end;
    return WaitStep{m_pauseEnd, true};
}

bool TargetSearch::areSlotsScarce(TimePoint now) const
{
    bool isAnyFresh = false;
    for (const auto &it : m_candidates) {
        if (!it.figures->isFresh(now, m_policy.freshFor))
            continue;
        if (2 * it.figures->expectedLoad(now) >= it.figures->slots())
            return true;
        isAnyFresh = true;
    }
    return !isAnyFresh;
}

bool TargetSearch::isRoomRare(TimePoint now) const
{
    std::size_t told = 0;
    std::size_t withRoom = 0;
    for (const auto &it : m_candidates) {
        if (!it.figures->isFresh(now, m_policy.roomMemory))
            continue;
        ++told;
        if (it.figures->expectedLoad(now) < it.figures->slots())
            ++withRoom;
    }
    return told >= m_policy.minToldRoom
           && static_cast<double>(withRoom) < m_policy.commonRoomShare * static_cast<double>(told);
}

bool TargetSearch::hasRoom(const TargetFigures &figures, TimePoint now) const
{
    const unsigned left = now < m_time.yieldsUntil ? 1 : 0;
    return figures.expectedLoad(now) + left < std::max(figures.slots(), left + 1);
}

double TargetSearch::costOf(std::size_t candidate, TimePoint now) const
{
    return m_candidates[candidate].figures->cost(now);
}

} // namespace Sapphireladder
