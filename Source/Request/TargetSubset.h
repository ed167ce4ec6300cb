#pragma once

#include "Core/Core.h"

#include <cstddef>
#include <span>
#include <vector>

namespace Sapphireladder {

/** A target as the subset selection sees it. */
struct SubsetTarget
{
    TargetId id;
    /** The target is in this VM's availability zone. */
    bool isLocal = false;
};

/** Size of the subset of a service's targets that one VM uses. */
struct SubsetPolicy
{
    /** Services with at most this many targets are used as a whole. */
    std::size_t size = 32;
    /** Share of the subset that is taken from this VM's availability zone, if it has enough. The
     * rest bears load that the zone cannot, for example after callers moved to it. */
    double localShare = 0.7;
};

/**
 * Selects the targets of a service that a VM uses. In a large fleet, each VM sends few requests to
 * a service with many targets. If it used all of them, it would meet each target once in minutes:
 * every request would open connections, and the VM's share of the load probes for one target would
 * be almost zero. With rendezvous hashing, the subsets of all VMs cover the targets evenly without
 * coordination, and a change of one target changes at most one member of each subset.
 * @param targets targets of one service
 * @return indices of the selected targets, in ascending order.
 */
std::vector<std::size_t> selectSubset(std::span<const SubsetTarget> targets, const VmId &vm,
                                      const SubsetPolicy &policy);

} // namespace Sapphireladder
