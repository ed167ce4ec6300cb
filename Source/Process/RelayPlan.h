#pragma once

#include "Process/PlatformStore.h"

#include <map>
#include <span>
#include <vector>

namespace Sapphireladder {

/** How a VM learns of changes. */
struct RelayRole
{
    /** The VM polls the store at the short interval and relays changes to others. */
    bool isReader = false;
    /** VMs to request changes from; empty if the VM reads the store itself. */
    std::vector<FleetMember> sources;
};

/**
 * Selects the few VMs, the readers, that read the store on behalf of the fleet. Every VM computes
 * the selection from its own copy of the fleet list and its own record of failures. The VMs need
 * not agree: any VM that follows the store can relay changes, and a VM without relayed changes
 * reads the store.
 */
class RelayPlan
{
public:
    /** Minimum number of readers, so that one failure does not interrupt all VMs. */
    static constexpr std::size_t minReaders = 2;
    /**
     * Fleet size per reader up to which a reader is added for each availability zone. Fewer readers
     * call the store less; one in each zone saves traffic between zones.
     */
    static constexpr std::size_t fleetSizePerReader = 16;
    /** Largest number of VMs that one reader serves. */
    static constexpr std::size_t maxClientsPerReader = 128;
    /** Readers that a VM requests changes from while any VM is failing. Otherwise it uses one. */
    static constexpr std::size_t maxSources = 2;
    /**
     * Number of failing VMs from which no further one is tried. The store or this VM's network is
     * then the likely cause, and each VM that receives a request calls the store too.
     */
    static constexpr std::size_t maxFailingVms = 6;
    /** VMs returned by rankedRelays(), without those that represent a zone. */
    static constexpr std::size_t minRankedRelays = 4;
    /** How long a VM is excluded after a failure. */
    static constexpr Duration failureRetention = std::chrono::seconds(8);

    explicit RelayPlan(FleetMember self)
        : m_self(std::move(self))
    {}

    /** Sets the VMs that can relay changes. */
    void setFleet(std::span<const FleetMember> members);
    /** @param vms number of VMs, including those that are not listed */
    void setFleetSize(std::size_t vms) { m_fleetSize = vms; }
    /** Records that a VM did not respond, or does not follow the store. */
    void recordFailure(const VmId &vm, TimePoint now) { m_failedAt[vm] = now; }
    /** @return the VMs that failed recently. */
    std::vector<VmId> failingVms(TimePoint now) const;
    /** @return the current role of this VM. */
    RelayRole role(TimePoint now) const;
    /**
     * @return the endpoints of some VMs in an order that is the same on every VM with the same
     * list: those with the most cores, and at least one in each availability zone.
     */
    std::vector<Endpoint> rankedRelays() const;
    /** @return other readers, for a reader that has lost the store. */
    std::vector<FleetMember> otherReaders(TimePoint now) const;

private:
    std::vector<FleetMember> readers(TimePoint now) const;
    bool isFailing(const VmId &vm, TimePoint now) const;
    std::size_t readerCount() const;
    /** Moves the sources that this VM prefers to the front. */
    void sortByPreference(std::vector<FleetMember> &readers) const;

    const FleetMember m_self;
    std::size_t m_fleetSize = 0;
    /** The listed VMs in an order that is the same on every VM, those with more cores first. */
    std::vector<FleetMember> m_ranked;
    std::map<VmId, TimePoint> m_failedAt;
};

} // namespace Sapphireladder
