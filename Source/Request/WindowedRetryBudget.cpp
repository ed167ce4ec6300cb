#include "Request/Request.h"

#include <algorithm>

namespace Sapphireladder {

WindowedRetryBudget::WindowedRetryBudget(const RepeatPolicy &policy, const Clock &clock)
    : m_policy(policy)
    , m_clock(clock)
{}

void WindowedRetryBudget::recordFirstAttempt()
{
    ++currentPart().requests;
}

bool WindowedRetryBudget::takeRetry()
{
    if (available() < 1.0)
        return false;
    ++currentPart().repeats;
    return true;
}

double WindowedRetryBudget::available()
{
    const auto now = currentIndex();
    double requests = 0;
    double repeats = 0;
    for (const auto &it : m_parts) {
        const auto age = now - it.index;
        if (it.index < 0 || age > static_cast<std::int64_t>(partCount))
            continue;
        repeats += it.repeats;
        if (age < static_cast<std::int64_t>(partCount))
            requests += it.requests;
    }
    const double slackShare = m_policy.slack / std::max(1U, m_policy.fleetSize);
    return usedShare * (m_policy.ratio * requests + slackShare) - repeats;
}

std::int64_t WindowedRetryBudget::currentIndex() const
{
    const auto part = m_policy.window / static_cast<std::int64_t>(partCount);
    return m_clock.now().time_since_epoch() / part;
}

WindowedRetryBudget::Part &WindowedRetryBudget::currentPart()
{
    const auto now = currentIndex();
    auto &part = m_parts[static_cast<std::size_t>(now) % slotCount];
    if (part.index != now)
        part = {now, 0, 0};
    return part;
}

} // namespace Sapphireladder
