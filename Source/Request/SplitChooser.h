#pragma once

#include "Version/Version.h"

#include <span>

namespace Sapphireladder {

/**
 * Distributes the requests of one route among its services by weight. Uses a low-discrepancy
 * sequence, so that the shares approach the weights after few requests.
 */
class SplitChooser
{
public:
    /** @param start first position in [0, 1); random, so that VMs are not in step */
    explicit SplitChooser(double start)
        : m_place(start)
    {}

    /** @param services at least one, with a positive sum of weights @return the selected index. */
    std::size_t choose(std::span<const WeightedService> services);

private:
    double m_place;
};

} // namespace Sapphireladder
