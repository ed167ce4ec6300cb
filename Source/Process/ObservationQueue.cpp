#include "Process/Process.h"

#include <utility>

namespace Sapphireladder {

void ObservationQueue::push(TargetObservation observation)
{
    const std::lock_guard lock(m_mutex);
    if (m_observations.size() >= m_capacity)
        m_dropped.fetch_add(1, std::memory_order_relaxed);
    else
        m_observations.push_back(std::move(observation));
}

std::vector<TargetObservation> ObservationQueue::drain()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_observations, {});
}

} // namespace Sapphireladder
