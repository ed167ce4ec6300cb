#pragma once

#include "Core/Core.h"
#include "Process/TargetDirectory.h"
#include "Version/Version.h"

#include <cstdint>
#include <span>

namespace Sapphireladder {

/** External dependency of the process. */
enum class Dependency : std::uint8_t {
    RouteSource,
    TargetRegistry,
    FleetList,
    /** Other VMs that relay changes. */
    Relay,
    Count,
};

/** @return the dependency's name in log events. */
std::string_view nameOf(Dependency dependency);

/** Where a VM's copy of a table comes from, and how recent it is. */
struct TableOrigin
{
    /** The VM that relayed the copy; empty if it was read from the store. */
    VmId relay;
    /** The copy has all changes that the store confirmed before this time. */
    TimePoint completeUntil{};
    /** Era of the store that the copy is from. */
    std::uint64_t era = 0;

    /** @return the name of the source for logs and metrics. */
    std::string name() const { return relay.isEmpty() ? "store" : relay.string(); }
};

/** Receives decoded data from the platform. Called on the control thread only. */
class PlatformFeed
{
public:
    virtual ~PlatformFeed() = default;

    /** A response for a table arrived. Called before its changes are delivered. */
    virtual void tableUpdated(Dependency table, const TableOrigin &origin) = 0;
    /** The operator's routes were received. They may be older than the current ones. */
    virtual void routesReceived(RouteTableContent content) = 0;
    /** The operator's routes could not be decoded. */
    virtual void routesRejected(const Error &error) = 0;
    /** The operator's complete list of evacuated zones was read. */
    virtual void evacuationsReceived(std::span<const ZoneName> zones) = 0;
    /** The operator evacuated a zone or took its evacuation back. */
    virtual void evacuationChanged(const ZoneName &zone, bool isEvacuated) = 0;
    /** The complete registry was read. */
    virtual void targetsReceived(std::span<const TargetRecord> records) = 0;
    /** One target registered or changed its record. */
    virtual void targetChanged(const TargetRecord &record) = 0;
    /** A target's record was removed. */
    virtual void targetRemoved(const TargetId &id) = 0;
    /** A target's record is invalid. */
    virtual void targetRejected(const TargetId &id, const Error &error) = 0;
    /** All changes of one response were delivered. They take effect together. */
    virtual void changesComplete() = 0;
    /** The size of the fleet changed. @param vms upper estimate of the number of running VMs */
    virtual void fleetSizeReceived(unsigned vms) = 0;
    /** The VMs that can relay changes. The endpoints are ordered, best suited first. */
    virtual void relaysReceived(std::span<const Endpoint>) {}
    /** A call to a dependency failed. Called for each failure. */
    virtual void dependencyFailed(Dependency dependency, const Error &error) = 0;
    /** A call to a dependency succeeded. Called for each success. */
    virtual void dependencyResponded(Dependency dependency) = 0;
};

} // namespace Sapphireladder
