#include "Testbed/Testbed.h"

#include <algorithm>

namespace Sapphireladder::Testbed {

SlotQueue::SlotQueue(const SlotLimits &limits, const NoiseOptions &noise, std::uint64_t seed)
    : m_limits(limits)
    , m_noise(seed)
{
    m_noise.setOptions(noise, m_clock.now());
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
        m_noise.setOptions(options, m_clock.now());
    }
    m_changed.notify_all();
}

bool SlotQueue::hasFreeSlot(TimePoint now)
{
    return m_running + m_noise.occupiedSlots(m_limits.slots, now) < m_limits.slots;
}

SlotEntry SlotQueue::enter(TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    auto now = m_clock.now();
    if (now >= deadline)
        return SlotEntry::TooLate;
    if (m_waiting.empty() && hasFreeSlot(now)) {
        ++m_running;
        return SlotEntry::Started;
    }
    if (m_waiting.size() >= m_limits.queue)
        return SlotEntry::QueueFull;
    const auto ticket = m_nextTicket++;
    m_waiting.push_back(ticket);
    auto entry = SlotEntry::Started;
    while (true) {
        now = m_clock.now();
        if (m_stopped)
            entry = SlotEntry::Stopped;
        else if (now >= deadline)
            entry = SlotEntry::TooLate;
        else if (m_waiting.front() != ticket || !hasFreeSlot(now)) {
            m_changed.wait_until(lock, std::min(deadline, m_noise.nextChange()));
            continue;
        }
        break;
    }
    m_waiting.erase(std::find(m_waiting.begin(), m_waiting.end(), ticket));
    if (entry == SlotEntry::Started)
        ++m_running;
    lock.unlock();
    m_changed.notify_all();
    return entry;
}

void SlotQueue::leave()
{
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
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
    return m_running + static_cast<unsigned>(m_waiting.size())
           + m_noise.occupiedSlots(m_limits.slots, m_clock.now());
}

unsigned SlotQueue::slots()
{
    const std::lock_guard lock(m_mutex);
    return m_limits.slots;
}

} // namespace Sapphireladder::Testbed
