#pragma once

#include "Process/PlatformStore.h"

#include <span>

namespace Sapphireladder {

/**
 * Decides which VMs list themselves as relays. A few in each availability zone are enough, so the
 * others read the list once and write nothing. Stateless; does no I/O.
 */
class RelayRegistration
{
public:
    /** Relays listed in each availability zone: one in use, and others to replace it. */
    static constexpr std::size_t relaysPerZone = 3;
    /** Mean wait of a VM with one core before it reads the list when the whole fleet starts. */
    static constexpr Duration meanStartDelay = std::chrono::milliseconds(60);
    static constexpr Duration maxStartDelay = std::chrono::milliseconds(1000);

    /**
     * @param isFirstStart whether the whole fleet starts, so that the list is still empty
     * @param cores processor cores of this VM
     * @param random uniform in [0, 1)
     * @return how long to wait before reading the list. VMs with more cores read it earlier, find
     * it empty and list themselves.
     */
    static Duration startDelay(bool isFirstStart, double cores, double random);

    /**
     * @param members the list as last read
     * @param failingVms listed VMs that did not respond to this VM recently
     * @return whether this VM has to write its entry: its zone has too few relays, or its present
     * entry is outdated.
     */
    static bool isNeeded(std::span<const FleetMember> members, std::span<const VmId> failingVms,
                         const FleetMember &self);
};

} // namespace Sapphireladder
