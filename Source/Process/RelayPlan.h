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
    /**
     * Fleet size from which changes are relayed. If every VM called the store, the load would equal
     * that of the readers' frequent calls in a fleet of 15, and be seven times that in one of 100.
     */
    static constexpr std::size_t minFleetSize = 40;
    /** Minimum number of readers. Otherwise there is one per availability zone. */
    static constexpr std::size_t minReaders = 3;
    /** Maximum number of readers. Each calls the store about once per second. */
    static constexpr std::size_t maxReaders = 6;
    /** Readers that a VM requests changes from while any VM is failing. Otherwise it uses one. */
    static constexpr std::size_t maxSources = 2;
    /**
     * Number of failing VMs from which no further one is tried. The store or this VM's network is
     * then the likely cause, and each VM that receives a request calls the store too.
     */
    static constexpr std::size_t maxFailingVms = 6;
    /** How long a VM is excluded after a failure. */
    static constexpr Duration failureRetention = std::chrono::seconds(8);

    explicit RelayPlan(FleetMember self)
        : m_self(std::move(self))
    {}

    void setFleet(std::span<const FleetMember> members);
    /** Records that a VM did not respond, or does not follow the store. */
    void recordFailure(const VmId &vm, TimePoint now) { m_failedAt[vm] = now; }
    /** @return the current role of this VM. */
    RelayRole role(TimePoint now) const;
    std::size_t fleetSize() const { return m_ranked.size(); }

private:
    std::vector<FleetMember> readers(TimePoint now) const;
    bool isFailing(const VmId &vm, TimePoint now) const;

    std::size_t readerCount() const;
    std::size_t countFailing(TimePoint now) const;

    const FleetMember m_self;
    /** All VMs including this one, in an order that is the same on every VM. */
    std::vector<FleetMember> m_ranked;
    std::map<VmId, TimePoint> m_failedAt;
};

} // namespace Sapphireladder
