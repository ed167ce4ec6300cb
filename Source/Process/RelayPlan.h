#pragma once

#include "Process/PlatformStore.h"

#include <map>
#include <span>
#include <vector>

namespace Sapphireladder {

/** From where a VM hears of changes. */
struct RelayRole
{
    /** The VM reads the store itself, often, and tells others. */
    bool isReader = false;
    /** VMs to ask for changes; empty if the VM reads the store itself. */
    std::vector<FleetMember> sources;
};

/**
 * Chooses the few VMs that read the store for all. Every VM computes the choice from its own list
 * of VMs and its own view of which ones fail; no agreement is needed, since any VM that follows the
 * store may be asked, and a VM that hears nothing reads the store itself.
 */
class RelayPlan
{
public:
    /**
     * Fleet size from which changes are relayed. A store call by every VM costs a fleet of 15 as
     * much as the readers' frequent calls; a fleet of 100 seven times that.
     */
    static constexpr std::size_t minFleet = 40;
    /** VMs that read the store for all: one for each availability zone, and no less than this. */
    static constexpr std::size_t minReaders = 3;
    /** Most readers, however many zones there are. Each calls the store about each second. */
    static constexpr std::size_t maxReaders = 6;
    /** Readers that a VM asks at the same time while any VM fails. Otherwise one is enough. */
    static constexpr std::size_t maxSources = 2;
    /**
     * VMs that failed lately, from which on no further one is asked. Then the store or this VM's
     * links are at fault, and each VM that is asked calls the store too.
     */
    static constexpr std::size_t maxFailing = 6;
    /** Time for which a VM that did not answer is left out. */
    static constexpr Duration failureMemory = std::chrono::seconds(8);

    explicit RelayPlan(FleetMember self)
        : m_self(std::move(self))
    {}

    void setFleet(std::span<const FleetMember> members);
    /** A VM did not answer, or does not follow the store. */
    void recordFailure(const VmId &vm, TimePoint now) { m_failedAt[vm] = now; }
    /** @return the role of this VM now. */
    RelayRole role(TimePoint now) const;
    std::size_t fleetSize() const { return m_ranked.size(); }

private:
    std::vector<FleetMember> readers(TimePoint now) const;
    bool isFailing(const VmId &vm, TimePoint now) const;

    std::size_t readerCount() const;
    std::size_t countFailing(TimePoint now) const;

    const FleetMember m_self;
    /** All VMs, this one included, in an order that is the same everywhere. */
    std::vector<FleetMember> m_ranked;
    std::map<VmId, TimePoint> m_failedAt;
};

} // namespace Sapphireladder
