#pragma once

#include "Core/Core.h"
#include "Version/Version.h"

#include <cstdint>
#include <vector>

namespace Sapphireladder {

/** Report about one VM, exchanged between VMs. */
struct Member
{
    VmId vm;
    /** Grows with each start of the VM's process. */
    std::uint64_t incarnation = 0;
    /** Where other VMs connect. */
    Endpoint endpoint;
    ZoneName zone;
    /** Number of heartbeats in this incarnation. */
    std::uint64_t heartbeat = 0;
    bool stopping = false;
};

/** Report about a target that is leaving or is live again, exchanged between VMs. */
struct TargetMark
{
    ServiceName service;
    TargetId target;
    std::uint64_t incarnation = 0;
    /** False if a newer incarnation of the target is live. */
    bool leaving = true;
};

/** A target's row in the platform's VM list, which lists the VMs that run targets. */
struct VmListEntry
{
    Endpoint address;
    ServiceName service;
    std::uint64_t incarnation = 0;
    bool leaving = false;
};

/** Gossip message between two VMs. */
struct Digest
{
    Member sender;
    /** Version and digest of the preset that the sender has applied; version 0 before the first. */
    ActivePreset applied;
    std::vector<Member> members;
    std::vector<TargetMark> marks;
};

} // namespace Sapphireladder
