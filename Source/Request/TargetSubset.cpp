#include "Request/Request.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace Sapphireladder {

namespace {

/** Weight of a target for one VM; the targets with the highest weights form the subset. */
std::uint64_t weightOf(const SubsetTarget &target, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(target.id.view().data(), target.id.view().size(), seed);
}

} // namespace

std::vector<std::size_t> selectSubset(std::span<const SubsetTarget> targets, const VmId &vm,
                                      const SubsetPolicy &policy)
{
    std::vector<std::size_t> order(targets.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    if (targets.size() <= policy.size)
        return order;
    const auto seed = XXH3_64bits(vm.view().data(), vm.view().size());
    std::vector<std::uint64_t> weights;
    weights.reserve(targets.size());
    for (const auto &it : targets)
        weights.push_back(weightOf(it, seed));
    const auto isPreferred = [&weights](std::size_t a, std::size_t b) {
        return weights[a] > weights[b];
    };
    const auto remote = std::partition(order.begin(), order.end(),
                                       [&targets](auto i) { return targets[i].isLocal; });
    std::sort(order.begin(), remote, isPreferred);
    std::sort(remote, order.end(), isPreferred);
    const auto localCount = static_cast<std::size_t>(remote - order.begin());
    const auto remoteCount = targets.size() - localCount;
    const auto wantedLocal = static_cast<std::size_t>(static_cast<double>(policy.size)
                                                      * policy.localShare);
    // Targets of one side replace those that the other one lacks.
    const auto minLocal = policy.size - std::min(policy.size, remoteCount);
    const auto usedLocal = std::min(localCount, std::max(wantedLocal, minLocal));
    std::vector<std::size_t> subset(order.begin(),
                                    order.begin() + static_cast<std::ptrdiff_t>(usedLocal));
    subset.insert(subset.end(), remote,
                  remote + static_cast<std::ptrdiff_t>(policy.size - usedLocal));
    std::sort(subset.begin(), subset.end());
    return subset;
}

} // namespace Sapphireladder
