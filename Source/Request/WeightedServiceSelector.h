#pragma once

#include "Version/Version.h"

#include <span>

namespace Sapphireladder {

/**
 * Distributes the requests of one route among its services by weight. Uses a low-discrepancy
 * sequence, so that the shares approach the weights after few requests.
 */
class WeightedServiceSelector
{
public:
    /** @param start first position in [0, 1); random, so that VMs are not in step */
    explicit WeightedServiceSelector(double start)
        : m_position(start)
    {}

    /** @param services at least one, with a positive sum of weights @return the selected index. */
    std::size_t select(std::span<const WeightedService> services);

private:
    double m_position;
};

} // namespace Sapphireladder
