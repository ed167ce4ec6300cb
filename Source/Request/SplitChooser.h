#pragma once

#include "Version/Version.h"

#include <span>

namespace Sapphireladder {

/**
 * Distributes the requests of one route among its services by weight. The steps are those of a
 * low-discrepancy sequence, so that the shares are close to the weights after few requests.
 */
class SplitChooser
{
public:
    /** @param start place in [0, 1) where the sequence starts; random, so that VMs differ */
    explicit SplitChooser(double start)
        : m_place(start)
    {}

    /** @param services at least one, with a positive sum of weights @return the index chosen. */
    std::size_t choose(std::span<const WeightedService> services);

private:
    double m_place;
};

} // namespace Sapphireladder
