#include "Process/Process.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace Sapphireladder {

namespace {

VmSketch sketchOf(std::span<const FleetMember> members)
{
    VmSketch sketch;
    for (const auto &it : members) {
        sketch.add(it.vm);
        if (it.clients)
            sketch.merge(*it.clients);
    }
    return sketch;
}

} // namespace

void VmSketch::add(const VmId &vm)
{
    m_hashes.insert(static_cast<std::uint32_t>(XXH3_64bits(vm.view().data(), vm.view().size())));
    truncate();
}

void VmSketch::merge(const VmHashes &hashes)
{
    // A full sketch may lack hashes above its largest one.
    m_isTruncated = m_isTruncated || hashes.size() >= maxHashes;
    m_hashes.insert(hashes.begin(), hashes.end());
    truncate();
}

void VmSketch::truncate()
{
    while (m_hashes.size() > maxHashes) {
        m_isTruncated = true;
        m_hashes.erase(std::prev(m_hashes.end()));
    }
}

unsigned VmSketch::estimate() const
{
    if (!m_isTruncated || m_hashes.size() < maxHashes)
        return static_cast<unsigned>(m_hashes.size());
    const double share = static_cast<double>(*m_hashes.rbegin())
                         / std::numeric_limits<std::uint32_t>::max();
    const double n = static_cast<double>(m_hashes.size() - 1) / share * estimateMargin;
    return static_cast<unsigned>(n);
}

void RelayClients::recordQuery(const VmId &vm, TimePoint now)
{
    m_lastQueryAt[vm] = now;
    beginCounting(now);
}

std::optional<VmHashes> RelayClients::toPublish(std::span<const FleetMember> members,
                                                const VmId &self, TimePoint now)
{
    if (!m_countingSince || now - *m_countingSince < countingTime
        || (m_writeEndedAt && now - *m_writeEndedAt < publishInterval))
        return std::nullopt;
    std::erase_if(m_lastQueryAt, [now](const auto &it) { return now - it.second > retention; });
    VmSketch clients;
    for (const auto &[vm, at] : m_lastQueryAt)
        clients.add(vm);
    const auto own = std::find_if(members.begin(), members.end(),
                                  [&self](const auto &it) { return it.vm == self; });
    const bool isPublished = own != members.end() && own->clients;
    auto fleet = sketchOf(members);
    const double known = fleet.estimate();
    fleet.merge(clients.hashes());
    const bool hasUnknown = fleet.estimate() > known * (1 + publishThreshold);
    return !isPublished || hasUnknown ? std::optional(clients.hashes()) : std::nullopt;
}

std::optional<unsigned> estimateFleetSize(std::span<const FleetMember> members)
{
    const bool isCounted = std::any_of(members.begin(), members.end(),
                                       [](const auto &it) { return it.clients.has_value(); });
    if (!isCounted)
        return std::nullopt;
    return sketchOf(members).estimate();
}

} // namespace Sapphireladder
