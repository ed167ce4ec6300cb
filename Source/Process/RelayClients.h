#pragma once

#include "Process/PlatformStore.h"

#include <map>
#include <optional>
#include <set>
#include <span>

namespace Sapphireladder {

/**
 * A K-minimum-values sketch of a set of VMs: the smallest hashes of their ids. Sketches of
 * overlapping sets can be merged, so a VM that several relays have seen counts once.
 */
class VmSketch
{
public:
    /** Hashes kept. Up to this number of VMs the count is exact. */
    static constexpr std::size_t maxHashes = 256;
    /** Factor on the estimate for larger sets, whose standard error is 6 %. */
    static constexpr double estimateMargin = 1.15;

    void add(const VmId &vm);
    void merge(const VmHashes &hashes);
    /** @return upper estimate of the number of VMs. */
    unsigned estimate() const;
    VmHashes hashes() const { return {m_hashes.begin(), m_hashes.end()}; }

private:
    void truncate();

    std::set<std::uint32_t> m_hashes;
    bool m_isTruncated = false;
};

/**
 * The VMs that query this VM for changes. Each relay publishes a sketch of its clients in the fleet
 * list, so that the size of the fleet is known although most VMs are not listed. Used by the
 * control thread only.
 */
class RelayClients
{
public:
    /** How long a VM is counted after its last query. */
    static constexpr Duration retention = std::chrono::seconds(30);
    /** Time from the first query, or from beginCounting(), to the first publication. Every client
     * queries within it. */
    static constexpr Duration countingTime = std::chrono::seconds(3);
    /** Minimum time between two publications, and after one that failed. */
    static constexpr Duration publishInterval = std::chrono::seconds(5);
    /** Relative growth of the fleet from which the clients are published again. */
    static constexpr double publishThreshold = 0.05;

    /** This VM relays changes from now on, even if no other VM has sent a query yet. */
    void beginCounting(TimePoint now) { m_countingSince = m_countingSince.value_or(now); }
    /** This VM no longer relays changes: its former clients count with the VMs they query now. */
    void endCounting() { m_countingSince.reset(); }
    void recordQuery(const VmId &vm, TimePoint now);
    /**
     * @param members the fleet list as last read
     * @return a sketch of the clients, if it has to be published now.
     */
    std::optional<VmHashes> toPublish(std::span<const FleetMember> members, const VmId &self,
                                      TimePoint now);
    /** A write of the sketch to the fleet list has succeeded or failed. */
    void writeEnded(TimePoint now) { m_writeEndedAt = now; }

private:
    std::map<VmId, TimePoint> m_lastQueryAt;
    std::optional<TimePoint> m_countingSince;
    std::optional<TimePoint> m_writeEndedAt;
};

/**
 * @return an upper estimate of the number of VMs from the relays' published clients, or nothing
 * while no relay has published any.
 */
std::optional<unsigned> estimateFleetSize(std::span<const FleetMember> members);

} // namespace Sapphireladder
