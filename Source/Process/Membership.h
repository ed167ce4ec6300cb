#pragma once

#include "Process/PeerMessages.h"

#include <map>
#include <vector>

namespace Sapphireladder {

/** Effect of a report about a member. */
enum class MemberChange {
    /** The report was not newer than what is known. */
    None,
    /** A newer heartbeat of a live member. */
    HeartbeatAdvanced,
    /** A member that was unknown or considered lost. */
    Joined,
};

/** Live VMs of the fleet. A VM is live while its heartbeat advances, by this VM's own clock. */
class Membership
{
public:
    /** A member without a new heartbeat for this long is considered lost. */
    static constexpr Duration heartbeatTimeout = std::chrono::seconds(15);
    /** Maximum records, including lost members, which are kept to recognize stale reports. */
    static constexpr std::size_t maxRecords = 4096;

    /** @param self this VM, with the incarnation of this start */
    explicit Membership(Member self);

    const Member &self() const { return m_self; }
    /** Advances this VM's heartbeat. */
    void advanceHeartbeat() { ++m_self.heartbeat; }
    /** Marks this VM as stopping in its own reports. */
    void stop();

    /**
     * Merges a report about a member from a digest or a heartbeat row. A report about this VM with
     * a later incarnation or heartbeat makes this VM adopt a higher incarnation.
     */
    MemberChange merge(const Member &member, TimePoint now);

    /** @return whether there is no record of the VM, or it is lost. */
    bool isUnknown(const VmId &vm) const;

    /** @return members that were lost since the last call. */
    std::vector<Member> takeNewlyLost(TimePoint now);

    /** @return live members other than this VM. */
    std::vector<Member> liveMembers(TimePoint now) const;

    /**
     * Selects random peers among the live members that are not stopping.
     * @param count maximum number of peers
     * @param seeds used if too few members are known
     * @return distinct addresses.
     */
    std::vector<Endpoint> choosePeers(std::size_t count, std::span<const Endpoint> seeds,
                                      TimePoint now, RandomSource &random) const;

private:
    struct Record
    {
        Member member;
        TimePoint updatedAt{};
        bool lost = false;
    };

    void evictOldest();

    Member m_self;
    std::map<VmId, Record> m_records;
};

} // namespace Sapphireladder
