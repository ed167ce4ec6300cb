#include "Connection/Loop/ConnectionLoop.h"

#include <algorithm>
#include <utility>

namespace Sapphireladder {

BufferReservation::BufferReservation(BufferBudget &budget, EvictionHandler evictionHandler)
    : m_budget(budget)
    , m_evictionHandler(std::move(evictionHandler))
{
    m_budget.m_reservations.push_back(*this);
}

bool BufferReservation::resize(std::size_t bytes)
{
    m_budget.m_usedBytes += bytes;
    m_budget.m_usedBytes -= std::exchange(m_bytes, bytes);
    if (m_bytes == 0)
        return true;
    while (!m_isEvicted && m_budget.m_usedBytes > m_budget.m_maxBytes) {
        if (!m_budget.evictLargerThan(*this))
            return false;
    }
    return !m_isEvicted;
}

void BufferReservation::release()
{
    resize(0);
    m_isEvicted = false;
}

bool BufferBudget::evictLargerThan(const BufferReservation &reservation)
{
    const auto sizeOf = [](const BufferReservation &it) {
        return it.m_evictionHandler ? it.m_bytes : 0;
    };
    const auto largest = std::max_element(
            m_reservations.begin(), m_reservations.end(),
            [&sizeOf](const auto &a, const auto &b) { return sizeOf(a) < sizeOf(b); });
    if (sizeOf(*largest) <= reservation.m_bytes)
        return false;
    m_usedBytes -= std::exchange(largest->m_bytes, 0);
    largest->m_isEvicted = true;
    largest->m_evictionHandler();
    return true;
}

} // namespace Sapphireladder
