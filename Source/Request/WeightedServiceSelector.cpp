#include "Request/Request.h"

namespace Sapphireladder {

std::size_t WeightedServiceSelector::select(std::span<const WeightedService> services)
{
    /** Golden ratio minus 1; the fractional parts of its multiples are evenly spread. */
    constexpr double step = 0.6180339887498949;
    m_position += step;
    if (m_position >= 1.0)
        m_position -= 1.0;
    double sum = 0;
    for (const auto &it : services)
        sum += it.weight;
    double remaining = m_position * sum;
    std::size_t last = 0;
    for (std::size_t i = 0; i < services.size(); ++i) {
        if (services[i].weight <= 0)
            continue;
        last = i;
        remaining -= services[i].weight;
        if (remaining < 0)
            break;
    }
    return last;
}

} // namespace Sapphireladder
