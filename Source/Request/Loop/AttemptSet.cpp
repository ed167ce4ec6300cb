#include "Request/Loop/RequestLoop.h"

#include <algorithm>
#include <utility>

namespace Sapphireladder {

std::optional<Attempt> AttemptSet::take(unsigned number)
{
    const auto it = std::find_if(
            m_attempts.begin(), m_attempts.end(),
            [number](const auto &attempt) { return attempt.number == number; });
    if (it == m_attempts.end())
        return std::nullopt;
    auto attempt = std::move(*it);
    m_attempts.erase(it);
    return attempt;
}

bool AttemptSet::hasUnstalled() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(),
                       [](const auto &it) { return !it.isStalled; });
}

void AttemptSet::closeAll(HealthSignal healthSignal, TimePoint now)
{
    for (const auto &it : std::exchange(m_attempts, {})) {
        it.upstream->stats().requestEnded(it.isStalled ? HealthSignal::Failed : healthSignal, now);
        it.connection->close();
    }
}

} // namespace Sapphireladder
