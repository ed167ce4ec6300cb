#pragma once

#include "Core/Core.h"

#include <cstddef>
#include <cstdint>

namespace Sapphireladder {

/** Slowest transfer of a message that is tolerated. */
struct TransferPolicy
{
    /** Time before the rate counts. */
    Duration grace = std::chrono::seconds(10);
    /** Minimum of the mean rate since the start of the transfer. */
    std::uint64_t minBytesPerSecond = 1 * kibibyte;
    /** Interval between checks after the grace. */
    Duration checkInterval = std::chrono::seconds(1);
};

/** Tells whether a peer sends or reads one message too slowly. Does no I/O. */
class TransferRate
{
public:
    /** @param startedAt start of the transfer */
    explicit TransferRate(TimePoint startedAt, TransferPolicy policy = {})
        : m_policy(policy)
        , m_startedAt(startedAt)
    {}

    void transferred(std::size_t bytes) { m_bytes += bytes; }
    /** @return whether the mean rate is below the minimum after the grace. */
    bool isTooSlow(TimePoint now) const;
    /** @return time until isTooSlow() has to be asked next. */
    Duration timeUntilCheck(TimePoint now) const;

private:
    TransferPolicy m_policy;
    TimePoint m_startedAt;
    std::uint64_t m_bytes = 0;
};

} // namespace Sapphireladder
