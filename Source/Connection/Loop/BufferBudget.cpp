#include "Connection/Loop/ConnectionLoop.h"

#include <algorithm>
#include <utility>

namespace Sapphireladder {

BufferReservation::BufferReservation(BufferBudget &budget, EvictionHandler evictionHandler)
    : m_budget(&budget)
    , m_evictionHandler(std::move(evictionHandler))
{
    m_budget->m_reservations.push_back(*this);
}

bool BufferReservation::resize(std::size_t bytes, TimePoint now)
{
    if (!m_budget)
        return false;
    m_progressAt = now;
    m_budget->m_usedBytes += bytes;
    m_budget->m_usedBytes -= std::exchange(m_bytes, bytes);
    if (m_bytes == 0)
        return true;
    while (!m_isEvicted && m_budget->m_usedBytes > m_budget->m_maxBytes) {
        if (!m_budget->evictHeavierThan(*this, now))
            return false;
    }
    return !m_isEvicted;
}

void BufferReservation::release()
{
    resize(0);
    m_isEvicted = false;
    m_isEvictable = true;
}

BufferBudget::~BufferBudget()
{
    for (auto &it : m_reservations)
        it.m_budget = nullptr;
}

std::size_t BufferBudget::maxBytesFor(std::size_t memoryBytes)
{
    /** Memory of a process without messages, with its tables and connections. */
    constexpr std::size_t processBytes = 32 * mebibyte;
    if (memoryBytes == 0)
        return defaultMaxBytes;
    const auto rest = memoryBytes - std::min(memoryBytes, processBytes);
    // The rest of a quarter is for the copy that a growing buffer takes for a moment, and for what
    // the kernel holds for the connections.
    return std::max(rest / 4 * 3, 4 * mebibyte);
}

bool BufferBudget::evictHeavierThan(const BufferReservation &reservation, TimePoint now)
{
    /** Added to the time without progress, so that size alone decides among the active. */
    static constexpr Duration minStall = std::chrono::milliseconds(100);
    const auto weightOf = [now](const BufferReservation &it) {
        return static_cast<double>(it.m_bytes) * toSeconds(now - it.m_progressAt + minStall);
    };
    const auto evictableWeightOf = [&weightOf](const BufferReservation &it) {
        return it.m_evictionHandler && it.m_isEvictable ? weightOf(it) : 0;
    };
    const auto heaviest = std::max_element(m_reservations.begin(), m_reservations.end(),
                                           [&evictableWeightOf](const auto &a, const auto &b) {
                                               return evictableWeightOf(a) < evictableWeightOf(b);
                                           });
    if (evictableWeightOf(*heaviest) <= weightOf(reservation))
        return false;
    m_usedBytes -= std::exchange(heaviest->m_bytes, 0);
    heaviest->m_isEvicted = true;
    ++m_evictionCount;
    heaviest->m_evictionHandler();
    return true;
}

} // namespace Sapphireladder
