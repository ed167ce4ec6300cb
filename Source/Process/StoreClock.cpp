#include "Process/Process.h"

#include <algorithm>
#include <utility>

namespace Sapphireladder {

namespace {

/** The store states its clock in whole milliseconds, rounded down. */
constexpr Duration resolution = std::chrono::milliseconds(1);
/** Largest drift of the two clocks against each other: 200 ms in 1,000 s. */
constexpr int driftDivisor = 5000;

} // namespace

void StoreClock::eraSeen(std::uint64_t era)
{
    if (era <= m_era)
        return;
    m_era = era;
    m_minOffset.reset();
}

TimePoint StoreClock::responseMadeAfter(TimePoint earliest, TimePoint now,
                                        std::optional<Duration> storeTime)
{
    if (!storeTime)
        return std::min(earliest, now);
    const auto offset = earliest.time_since_epoch() - *storeTime - resolution;
    const auto drift = (now - std::exchange(m_measuredAt, now)) / driftDivisor;
    m_minOffset = m_minOffset ? std::max(*m_minOffset - drift, offset) : offset;
    const TimePoint madeAfter(*m_minOffset + *storeTime);
    if (madeAfter <= now)
        return madeAfter;
    // The store's clock has jumped ahead, as after a restart of the store.
    m_minOffset = offset;
    return std::min(earliest, now);
}

} // namespace Sapphireladder
