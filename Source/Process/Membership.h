#pragma once

#include "Process/PeerMessages.h"

#include <map>
#include <vector>

namespace Sapphireladder {

/** What a report of a member changed. */
enum class MemberNews {
    /** Nothing that was not known already. */
    None,
    /** A later heartbeat of a member that counts as alive. */
    Progress,
    /** A member that did not count as alive. */
    Joined,
};

/** Which VMs exist, judged by the progress of their heartbeats on this VM's own clock. */
class Membership
{
public:
    /** A member without a new heartbeat for this long is not chosen as a peer. */
    static constexpr Duration silenceLimit = std::chrono::seconds(15);
    /** Members remembered, silent ones included, so that stale reports of them are recognised. */
    static constexpr std::size_t memoryLimit = 4096;

    /** @param self this VM with the incarnation of this start */
    explicit Membership(Member self);

    const Member &self() const { return m_self; }
    /** Counts a heartbeat of this VM. */
    void beat() { ++m_self.heartbeat; }
    /** Makes this VM's reports say that it stops. */
    void stop();

    /**
     * Takes a report of a member from a digest or a row. A report of this VM with a later
     * incarnation or heartbeat makes this VM take a higher incarnation.
     */
    MemberNews hear(const Member &member, TimePoint now);

    /** @return whether the VM was never heard of, or is silent. */
    bool isUnknown(const VmId &vm) const;

    /** @return members that became silent since the last call. */
    std::vector<Member> takeLost(TimePoint now);

    /** @return members other than this VM that count as alive. */
    std::vector<Member> alive(TimePoint now) const;

    /**
     * Chooses peers at random among the members that are alive and do not stop.
     * @param count how many
     * @param seeds contacted where too few members are known
     * @return distinct addresses, at most `count`.
     */
    std::vector<Endpoint> choosePeers(std::size_t count, std::span<const Endpoint> seeds,
                                      TimePoint now, RandomSource &random) const;

private:
    struct Record
    {
        Member member;
        TimePoint heardAt{};
        bool lost = false;
    };

    void forgetOldest();

    Member m_self;
    std::map<VmId, Record> m_records;
};

} // namespace Sapphireladder
