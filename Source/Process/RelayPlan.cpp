#include "Process/Process.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace Sapphireladder {

namespace {

/** The hash must be the same on every VM, which std::hash does not guarantee. */
std::uint64_t hashOf(const VmId &vm)
{
    return XXH3_64bits(vm.view().data(), vm.view().size());
}

void rotateBy(std::span<FleetMember> members, std::uint64_t n)
{
    if (members.empty())
        return;
    const auto middle = static_cast<std::ptrdiff_t>(n % members.size());
    std::rotate(members.begin(), members.begin() + middle, members.end());
}

} // namespace

void RelayPlan::setFleet(std::span<const FleetMember> members)
{
    m_ranked.assign(members.begin(), members.end());
    std::sort(m_ranked.begin(), m_ranked.end(), [](const auto &a, const auto &b) {
        return std::make_tuple(-a.cores, hashOf(a.vm), a.vm.view())
               < std::make_tuple(-b.cores, hashOf(b.vm), b.vm.view());
    });
}

bool RelayPlan::isFailing(const VmId &vm, TimePoint now) const
{
    const auto it = m_failedAt.find(vm);
    return it != m_failedAt.end() && now - it->second < failureRetention;
}

std::vector<VmId> RelayPlan::failingVms(TimePoint now) const
{
    std::vector<VmId> vms;
    for (const auto &[vm, failedAt] : m_failedAt) {
        if (now - failedAt < failureRetention)
            vms.push_back(vm);
    }
    return vms;
}

std::size_t RelayPlan::readerCount() const
{
    std::set<ZoneName> zones;
    for (const auto &it : m_ranked)
        zones.insert(it.zone);
    const auto fleetSize = std::max(m_fleetSize, m_ranked.size());
    const auto share = [fleetSize](std::size_t n) { return (fleetSize + n - 1) / n; };
    const auto wanted = std::clamp(share(fleetSizePerReader), minReaders,
                                   std::max(zones.size(), minReaders));
    return std::max(wanted, share(maxClientsPerReader));
}

std::vector<FleetMember> RelayPlan::readers(TimePoint now) const
{
    const auto count = readerCount();
    std::vector<FleetMember> chosen;
    std::set<ZoneName> zones;
    for (const bool isAnyZoneAllowed : {false, true}) {
        for (const auto &it : m_ranked) {
            const bool isChosen = std::find(chosen.begin(), chosen.end(), it) != chosen.end();
            if (chosen.size() >= count || isChosen || isFailing(it.vm, now)
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
    auto chosen = readers(now);
    if (std::any_of(chosen.begin(), chosen.end(),
                    [this](const auto &it) { return it.vm == m_self.vm; }))
        return {true, {}};
    const auto failing = failingVms(now).size();
    if (failing >= maxFailingVms)
        return {};
    sortByPreference(chosen);
    chosen.resize(std::min(chosen.size(), failing > 0 ? maxSources : 1));
    return {false, std::move(chosen)};
}

std::vector<FleetMember> RelayPlan::otherReaders(TimePoint now) const
{
    if (failingVms(now).size() >= maxFailingVms)
        return {};
    auto others = readers(now);
    std::erase_if(others, [this](const auto &it) { return it.vm == m_self.vm; });
    sortByPreference(others);
    others.resize(std::min(others.size(), maxSources));
    return others;
}

std::vector<Endpoint> RelayPlan::rankedRelays() const
{
    std::vector<Endpoint> relays;
    std::set<ZoneName> zones;
    for (const auto &it : m_ranked) {
        const bool isFirstOfZone = zones.insert(it.zone).second;
        if (relays.size() < minRankedRelays || isFirstOfZone)
            relays.push_back(it.relayEndpoint);
    }
    return relays;
}

void RelayPlan::sortByPreference(std::vector<FleetMember> &readers) const
{
    const auto remote = std::stable_partition(
            readers.begin(), readers.end(),
            [this](const auto &it) { return it.zone == m_self.zone; });
    // Spreads the VMs of a zone over its readers, and VMs without one over those of other zones.
    const auto hash = hashOf(m_self.vm);
    rotateBy({readers.begin(), remote}, hash);
    rotateBy({remote, readers.end()}, hash);
}

} // namespace Sapphireladder
