#pragma once

#include "Core/Core.h"

#include <optional>

namespace Sapphireladder {

/** Decides which share of its full load a returning target gets. */
class RampRule
{
public:
    /** A view is published for each step, so few of them keep publication cheap. */
    static constexpr unsigned steps = 10;

    /** @param ramp time until the full share; zero for the full share at once */
    explicit RampRule(Duration ramp)
        : m_ramp(ramp)
    {}

    /**
     * @param returnedAt when the target returned, or nothing if it was there all along
     * @return the share, above 0 and up to 1.
     */
    double weight(std::optional<TimePoint> returnedAt, TimePoint now) const;

private:
    Duration m_ramp;
};

} // namespace Sapphireladder
