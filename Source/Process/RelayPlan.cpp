#include "Process/Process.h"

#include <algorithm>
#include <set>

namespace Sapphireladder {

namespace {

/** 64-bit FNV-1a. The hash must be the same on every VM, which std::hash does not guarantee. */
std::uint64_t hashOf(const VmId &vm)
{
    constexpr std::uint64_t offset = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t hash = offset;
    for (const char it : vm.view())
        hash = (hash ^ static_cast<unsigned char>(it)) * prime;
    return hash;
}

} // namespace

void RelayPlan::setFleet(std::span<const FleetMember> members)
{
    m_ranked.assign(members.begin(), members.end());
    const bool hasSelf = std::any_of(m_ranked.begin(), m_ranked.end(),
                                     [this](const auto &it) { return it.vm == m_self.vm; });
    if (!hasSelf)
        m_ranked.push_back(m_self);
    std::sort(m_ranked.begin(), m_ranked.end(), [](const auto &a, const auto &b) {
        return std::make_pair(hashOf(a.vm), a.vm) < std::make_pair(hashOf(b.vm), b.vm);
    });
}

bool RelayPlan::isFailing(const VmId &vm, TimePoint now) const
{
    const auto it = m_failedAt.find(vm);
    return it != m_failedAt.end() && now - it->second < failureRetention;
}

std::size_t RelayPlan::countFailing(TimePoint now) const
{
    const auto n = std::count_if(m_failedAt.begin(), m_failedAt.end(), [now](const auto &it) {
        return now - it.second < failureRetention;
    });
    return static_cast<std::size_t>(n);
}

std::size_t RelayPlan::readerCount() const
{
    std::set<ZoneName> zones;
    for (const auto &it : m_ranked)
        zones.insert(it.zone);
    return std::clamp(zones.size(), minReaders, maxReaders);
}

std::vector<FleetMember> RelayPlan::readers(TimePoint now) const
{
    std::vector<FleetMember> chosen;
    std::set<ZoneName> zones;
    for (const bool isAnyZoneAllowed : {false, true}) {
        for (const auto &it : m_ranked) {
            const bool isChosen = std::find(chosen.begin(), chosen.end(), it) != chosen.end();
            if (chosen.size() >= readerCount() || isChosen || isFailing(it.vm, now)
                || (zones.contains(it.zone) && !isAnyZoneAllowed))
                continue;
            chosen.push_back(it);
            zones.insert(it.zone);
        }
    }
    return chosen;
}

RelayRole RelayPlan::role(TimePoint now) const
{
    if (m_ranked.size() < minFleetSize)
        return {};
    auto chosen = readers(now);
    if (std::any_of(chosen.begin(), chosen.end(),
                    [this](const auto &it) { return it.vm == m_self.vm; }))
        return {true, {}};
    const auto failing = countFailing(now);
    if (failing >= maxFailingVms)
        return {};
    std::stable_partition(chosen.begin(), chosen.end(),
                          [this](const auto &it) { return it.zone == m_self.zone; });
    const std::size_t sourceCount = failing > 0 ? maxSources : 1;
    // VMs without a reader in their zone are spread over the readers of other zones.
    if (chosen.size() > sourceCount && chosen.front().zone != m_self.zone)
        std::rotate(chosen.begin(),
                    chosen.begin() + static_cast<std::ptrdiff_t>(hashOf(m_self.vm) % chosen.size()),
                    chosen.end());
    chosen.resize(std::min(chosen.size(), sourceCount));
    return {false, std::move(chosen)};
}

} // namespace Sapphireladder
