#pragma once

#include "Core/Core.h"
#include "Process/TargetDirectory.h"
#include "Version/Version.h"

#include <span>

namespace Sapphireladder {

/** Something outside the process that it depends on. */
enum class Dependency : std::uint8_t {
    RouteSource,
    TargetRegistry,
    FleetList,
    /** Other VMs that tell changes. */
    Relay,
    Count,
};

/** @return the dependency's name, as in the log. */
std::string_view nameOf(Dependency dependency);

/** Receives what a platform says, decoded. Called on the control thread only. */
class PlatformFeed
{
public:
    virtual ~PlatformFeed() = default;

    /** The operator's routes, of any version. */
    virtual void routesReceived(RouteTableContent content) = 0;
    /** The operator's routes could not be decoded. */
    virtual void routesRejected(const Error &error) = 0;
    /** The registry was read as a whole. */
    virtual void targetsReceived(std::span<const TargetRecord> records) = 0;
    /** One target registered or changed its record. */
    virtual void targetChanged(const TargetRecord &record) = 0;
    /** A target's record is gone. */
    virtual void targetRemoved(const TargetId &id) = 0;
    /** A record names no target that could be used. */
    virtual void targetRejected(const TargetId &id, const Error &error) = 0;
    /** All changes that one answer brought were told; they take effect together. */
    virtual void changesComplete() = 0;
    /** The number of VMs that are listed. */
    virtual void fleetCounted(unsigned vms) = 0;
    /** Calls to a dependency fail. Repeated while they go on failing. */
    virtual void dependencyFailed(Dependency dependency, const Error &error) = 0;
    /** A call to a dependency succeeded. Repeated with each success. */
    virtual void dependencyAnswered(Dependency dependency) = 0;
};

} // namespace Sapphireladder
