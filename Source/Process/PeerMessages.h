#pragma once

#include "Core/Core.h"
#include "Version/Version.h"

#include <cstdint>
#include <vector>

namespace Sapphireladder {

/** What the VMs tell each other of one VM. */
struct Member
{
    VmId vm;
    /** Grows with each start of the VM's process. */
    std::uint64_t incarnation = 0;
    /** Where other VMs connect. */
    Endpoint endpoint;
    ZoneName zone;
    /** Heartbeats of this incarnation. */
    std::uint64_t heartbeat = 0;
    bool stopping = false;
};

/** What the VMs tell each other of a target that leaves or has come back. */
struct TargetMark
{
    ServiceName service;
    TargetId target;
    std::uint64_t incarnation = 0;
    /** False once a newer incarnation is live. */
    bool leaving = true;
};

/** One row of the platform's VM list. */
struct VmListEntry
{
    Endpoint address;
    ServiceName service;
    std::uint64_t incarnation = 0;
    bool leaving = false;
};

/** One message of the exchange between two VMs. */
struct Digest
{
    Member sender;
    /** Version and digest that the sender applies; version 0 before the first. */
    ActivePreset inForce;
    std::vector<Member> members;
    std::vector<TargetMark> marks;
};

} // namespace Sapphireladder
