#include "Request/Request.h"

#include <algorithm>
#include <atomic>

namespace Sapphireladder {

namespace {

class RoundRobinSelector final : public TargetSelector
{
public:
    std::size_t select(std::span<const TargetCandidate> candidates, const RoutingPolicy &,
                       RandomSource &) override
    {
        return m_next.fetch_add(1, std::memory_order_relaxed) % candidates.size();
    }

private:
    std::atomic<std::size_t> m_next{0};
};

class RandomSelector final : public TargetSelector
{
public:
    std::size_t select(std::span<const TargetCandidate> candidates, const RoutingPolicy &,
                       RandomSource &random) override
    {
        return random.below(candidates.size());
    }
};

template<typename Selector>
std::unique_ptr<TargetSelector> createSelector()
{
    return std::make_unique<Selector>();
}

constexpr RoutingStrategy strategies[] = {
        {"round-robin", &createSelector<RoundRobinSelector>},
        {"random", &createSelector<RandomSelector>},
        // FIXME: The estimate that ages is not written yet, so its name selects at random.
        {"aged-estimate", &createSelector<RandomSelector>},
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
