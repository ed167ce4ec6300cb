#include "Request/Request.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

template<typename Selector>
std::unique_ptr<TargetSelector> createSelector()
{
    return std::make_unique<Selector>();
}

constexpr RoutingStrategy strategies[] = {
        {"round-robin", &createSelector<RoundRobinSelector>},
        {"random", &createSelector<RandomSelector>},
        {"least-in-flight", &createSelector<LeastInFlightSelector>},
        {"power-of-two", &createSelector<PowerOfTwoSelector>},
        {"aged-estimate", &createSelector<AgedEstimateSelector>},
};

} // namespace

std::span<const RoutingStrategy> routingStrategies()
{
    return strategies;
}

const RoutingStrategy *findRoutingStrategy(std::string_view name)
{
    const auto *it = std::find_if(std::begin(strategies), std::end(strategies),
                                  [name](const auto &row) { return row.name == name; });
    return it == std::end(strategies) ? nullptr : it;
}

} // namespace Sapphireladder
