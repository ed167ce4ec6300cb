#include "Testbed/Testbed.h"

#include <algorithm>

namespace Sapphireladder::Testbed {

SlotQueue::SlotQueue(const SlotLimits &limits, const NoiseOptions &noise, std::uint64_t seed)
    : m_limits(limits)
    , m_neighbour(seed)
{
    m_neighbour.setOptions(noise, m_clock.now());
}

void SlotQueue::setLimits(const SlotLimits &limits)
{
    {
        const std::lock_guard lock(m_mutex);
        m_limits = limits;
    }
    m_changed.notify_all();
}

void SlotQueue::setNoise(const NoiseOptions &options)
{
    {
        const std::lock_guard lock(m_mutex);
        m_neighbour.setOptions(options, m_clock.now());
    }
    m_changed.notify_all();
}

bool SlotQueue::hasFreeSlot(TimePoint now)
{
    return m_runningCount + m_neighbour.occupiedSlots(m_limits.slots, now) < m_limits.slots;
}

SlotResult SlotQueue::acquire(TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    auto now = m_clock.now();
    if (now >= deadline)
        return SlotResult::DeadlineExceeded;
    if (m_waitingTickets.empty() && hasFreeSlot(now)) {
        ++m_runningCount;
        return SlotResult::Acquired;
    }
    if (m_waitingTickets.size() >= m_limits.queue)
        return SlotResult::QueueFull;
    const auto ticket = m_nextTicket++;
    m_waitingTickets.push_back(ticket);
    auto result = SlotResult::Acquired;
    while (true) {
        now = m_clock.now();
        if (m_stopped)
            result = SlotResult::Stopped;
        else if (now >= deadline)
            result = SlotResult::DeadlineExceeded;
        else if (m_waitingTickets.front() != ticket || !hasFreeSlot(now)) {
            m_changed.wait_until(lock, std::min(deadline, m_neighbour.nextChange()));
            continue;
        }
        break;
    }
    m_waitingTickets.erase(std::find(m_waitingTickets.begin(), m_waitingTickets.end(), ticket));
    if (result == SlotResult::Acquired)
        ++m_runningCount;
    lock.unlock();
    m_changed.notify_all();
    return result;
}

void SlotQueue::release()
{
    {
        const std::lock_guard lock(m_mutex);
        --m_runningCount;
    }
    m_changed.notify_all();
}

void SlotQueue::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
}

unsigned SlotQueue::load()
{
    const std::lock_guard lock(m_mutex);
    return m_runningCount + static_cast<unsigned>(m_waitingTickets.size())
           + m_neighbour.occupiedSlots(m_limits.slots, m_clock.now());
}

unsigned SlotQueue::slots()
{
    const std::lock_guard lock(m_mutex);
    return m_limits.slots;
}

} // namespace Sapphireladder::Testbed
