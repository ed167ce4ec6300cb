#pragma once

#include "Process/GatewaySnapshot.h"
#include "Process/PlatformFeed.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Sapphireladder {

/** Counters of the changes and outages that GatewayControl has processed. */
struct GatewayControlCounters
{
    std::uint64_t routesApplied = 0;
    std::uint64_t routesIgnored = 0;
    std::uint64_t routesRejected = 0;
    std::uint64_t targetsRejected = 0;
    std::uint64_t dependenciesLost = 0;
};

/**
 * Control state of a gateway VM: the routes in force, the registered targets and the availability
 * of its dependencies. Used by the control thread only; does no I/O.
 */
class GatewayControl final : public PlatformFeed
{
public:
    /** Assumed until the size is known. Large, so that this VM's share of budgets is low. */
    static constexpr unsigned assumedFleetSize = 1000;
    /** Share of the known size that a smaller one must not exceed to be applied. Each application
     * costs a new snapshot, and a size that is too large is safe. */
    static constexpr double fleetShrinkThreshold = 0.9;

    /** Invalid records remembered. Other writers may leave any number of them. */
    static constexpr std::size_t maxRejectedRecords = 1000;

    /** The references must outlive the object. */
    GatewayControl(SnapshotSink &sink, EventSink &events, const Clock &clock);

    void tableUpdated(Dependency table, const TableOrigin &origin) override;
    void routesReceived(RouteTableContent content) override;
    void routesRejected(const Error &error) override;
    void evacuationsReceived(std::span<const ZoneName> zones) override;
    void evacuationChanged(const ZoneName &zone, bool isEvacuated) override;
    void targetsReceived(std::span<const TargetRecord> records) override;
    void targetChanged(const TargetRecord &record) override;
    void targetRemoved(const TargetId &id) override;
    void targetRejected(const TargetId &id, const Error &error) override;
    void changesComplete() override;
    void fleetSizeReceived(unsigned vms) override;
    void relaysReceived(std::span<const Endpoint> relays) override;
    void dependencyFailed(Dependency dependency, const Error &error) override;
    void dependencyResponded(Dependency dependency) override;

    /** Performs what is due. @return when to call again, or nothing. */
    std::optional<TimePoint> tick();

    /** @return the routes in force; null before the first are known. */
    const std::shared_ptr<const RouteTable> &routes() const { return m_routes; }
    const GatewayControlCounters &counters() const { return m_counters; }

private:
    struct DependencyState
    {
        bool isLost = false;
        std::optional<TimePoint> lostAt;
    };

    void publish();
    void logTarget(EventId event, const TargetRecord &record);

    SnapshotSink &m_sink;
    EventSink &m_events;
    const Clock &m_clock;
    std::shared_ptr<const RouteTable> m_routes;
    /** Where the routes in force come from. */
    std::string m_routesSource;
    /** Zones whose targets must not receive requests. */
    std::set<ZoneName> m_evacuatedZones;
    /** The origin of the response whose changes are being delivered. */
    TableOrigin m_origin;
    std::shared_ptr<TableFreshness> m_freshness = std::make_shared<TableFreshness>();
    TargetDirectory m_directory;
    /** Invalid records and their errors, so that each is logged once and not for each read. */
    std::map<TargetId, std::string> m_rejectedRecords;
    std::array<DependencyState, static_cast<std::size_t>(Dependency::Count)> m_dependencies;
    unsigned m_fleetSize = assumedFleetSize;
    std::vector<Endpoint> m_allowanceCollectors;
    bool m_hasReadTargets = false;
    /** Whether anything changed since the last snapshot. */
    bool m_isDirty = false;
    GatewayControlCounters m_counters;
};

} // namespace Sapphireladder
