#pragma once

#include "Core/Core.h"

#include <optional>

namespace Sapphireladder {

/** Slow start: decides which share of its full load a returning target receives. */
class RampRule
{
public:
    /** Each step publishes a new view, so a small number keeps publication cheap. */
    static constexpr unsigned steps = 10;

    /** @param rampUpTime time until the full share; zero for the full share immediately */
    explicit RampRule(Duration rampUpTime)
        : m_rampUpTime(rampUpTime)
    {}

    /**
     * @param returnedAt when the target returned, or nothing if it has been present from the start
     * @return the share, above 0 and up to 1.
     */
    double weight(std::optional<TimePoint> returnedAt, TimePoint now) const;

private:
    Duration m_rampUpTime;
};

} // namespace Sapphireladder
