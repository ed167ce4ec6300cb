#pragma once

#include "Process/PeerMessages.h"
#include "Process/TableService.h"

#include <vector>

namespace Sapphireladder {

/** The platform's list of the VMs that run targets, live or leaving. May lag. Calls block. */
class VmList
{
public:
    virtual ~VmList() = default;
    virtual Result<std::vector<VmListEntry>> read() = 0;
};

/** Heartbeat rows of the VMs in the platform's table service. Calls block. */
class MemberStore
{
public:
    /** Number of shards over which the rows are spread, so that each read is small. */
    static constexpr unsigned shardCount = 16;

    virtual ~MemberStore() = default;
    virtual WriteResult write(const Member &member) = 0;
    virtual Result<std::vector<Member>> readShard(unsigned shard) = 0;
    /** Deletes a VM's own row if it has the tag. */
    virtual WriteResult remove(const VmId &vm, std::string_view tag) = 0;
};

} // namespace Sapphireladder
