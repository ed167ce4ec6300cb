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
    if (const auto good = best(now, true);
        good && m_candidates[*good].figures->cost(now) <= m_policy.goodCost)
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

std::optional<std::size_t> TargetSearch::best(TimePoint now, bool freshOnly) const
{
    std::optional<std::size_t> found;
    double lowest = 0;
    for (std::size_t i = 0; i < m_candidates.size(); ++i) {
        const auto &figures = *m_candidates[i].figures;
        if (m_states[i] == State::Failed || (freshOnly && !figures.isFresh(now, m_policy.freshFor)))
            continue;
        const double cost = figures.cost(now);
        if (!found || cost < lowest) {
            found = i;
            lowest = cost;
        }
    }
    return found;
}

AskStep TargetSearch::askRound(TimePoint now)
{
    AskStep step;
    const auto size = m_askedCount == 0 ? m_policy.firstRound : m_policy.nextRound;
    while (m_nextInOrder < m_order.size() && step.candidates.size() < size) {
        const auto i = m_order[m_nextInOrder++];
        if (!m_candidates[i].mayAsk || m_candidates[i].figures->isFresh(now, m_policy.freshFor))
            continue;
        m_states[i] = State::Asked;
        step.candidates.push_back(i);
    }
    // Answers of an earlier round that come late are still used, but no longer waited for.
    m_outstanding = step.candidates.size();
    m_askedCount += step.candidates.size();
    m_roundEnd = now + m_policy.roundTime;
    return step;
}

SearchStep TargetSearch::decideAfterAll(TimePoint now)
{
    auto choice = best(now, true);
    if (!choice)
        choice = best(now, false);
    // Every target failed to answer; the figures of before are all there is.
    if (!choice) {
        std::fill(m_states.begin(), m_states.end(), State::Unasked);
        choice = best(now, false);
    }
    const double cost = m_candidates[*choice].figures->cost(now);
    if (cost <= m_policy.acceptableCost)
        return SendStep{*choice};
    if (now + m_policy.pause < m_time.giveUpAt) {
        m_nextInOrder = 0;
        m_pauseEnd = now + m_policy.pause;
        return WaitStep{m_pauseEnd, true};
    }
    if (hasRoom(*choice) && fits(cost, now))
        return SendStep{*choice};
    return RefuseStep{RefusalReason::QueueFull};
}

bool TargetSearch::fits(double cost, TimePoint now) const
{
    return duration_cast<Duration>(m_time.work * cost) <= m_time.deadline - now;
}

bool TargetSearch::hasRoom(std::size_t candidate) const
{
    const auto &figures = *m_candidates[candidate].figures;
    const auto slots = figures.slots();
    return figures.expectedLoad() < slots + static_cast<unsigned>(slots * m_policy.maxQueueShare);
}

} // namespace Sapphireladder
