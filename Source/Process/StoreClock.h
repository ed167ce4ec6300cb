#pragma once

#include "Core/Core.h"

#include <cstdint>
#include <optional>

namespace Sapphireladder {

/**
 * Relates the store's clock to this VM's clock. Tells for each response when the store made it,
 * also if this VM or the network delayed it. Used by the control thread only.
 */
class StoreClock
{
public:
    /**
     * Evaluates a response.
     * @param earliest time before which the store cannot have made the response
     * @param now when the response was handled
     * @param storeTime the store's clock in the response, if stated
     * @return a time at which the store had not yet made the response, as late as is certain.
     */
    TimePoint responseMadeAfter(TimePoint earliest, TimePoint now,
                                std::optional<Duration> storeTime);

    /** Forgets the store's clock once for each later era: it may have been set with the return. */
    void eraSeen(std::uint64_t era);

private:
    std::uint64_t m_era = 0;
    /** Lower bound of this VM's clock less the store's, as of m_measuredAt. */
    std::optional<Duration> m_minOffset;
    TimePoint m_measuredAt{};
};

} // namespace Sapphireladder
