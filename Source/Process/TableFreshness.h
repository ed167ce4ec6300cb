#pragma once

#include "Process/PlatformFeed.h"

#include <array>
#include <atomic>

namespace Sapphireladder {

/**
 * Until when this VM's copies of the tables are complete. Written by the control thread and read by
 * the traffic thread, for metrics only.
 */
class TableFreshness
{
public:
    void set(Dependency table, TimePoint completeUntil) { timeOf(table) = completeUntil; }
    /** @param era era of the store that a table is from */
    void setEra(std::uint64_t era) { m_era = era; }
    std::uint64_t era() const { return m_era; }
    /** @return the age of the copy, or zero before the first one. */
    Duration age(Dependency table, TimePoint now) const
    {
        const auto completeUntil = timeOf(table).load();
        return completeUntil == TimePoint() ? Duration::zero() : now - completeUntil;
    }

private:
    std::atomic<TimePoint> &timeOf(Dependency table)
    {
        return m_times[static_cast<std::size_t>(table)];
    }
    const std::atomic<TimePoint> &timeOf(Dependency table) const
    {
        return m_times[static_cast<std::size_t>(table)];
    }

    std::array<std::atomic<TimePoint>, static_cast<std::size_t>(Dependency::Count)> m_times{};
    std::atomic<std::uint64_t> m_era{0};
};

} // namespace Sapphireladder
