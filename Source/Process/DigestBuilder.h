#pragma once

#include "Process/PeerMessages.h"

#include <map>
#include <utility>

namespace Sapphireladder {

/** Which members a digest contains. */
enum class DigestScope {
    /** Only reports that have been sent fewer times than the transmission limit. */
    Updates,
    /** All members that fit, for a VM that is new to this one. */
    AllMembers,
};

/** Keeps the members and marks to gossip, and builds digests that carry the newest of them. */
class DigestBuilder
{
public:
    /** Largest encoded digest in bytes; fits a single packet. */
    static constexpr std::size_t maxEncodedBytes = 1400;
    /**
     * How many digests carry the same report of a member. With six transmissions by each VM that
     * receives the report, about one VM in 400 misses it; the next heartbeat reaches that VM.
     */
    static constexpr unsigned maxTransmissions = 6;

    void updateMember(const Member &member);
    /** Excludes a lost member from later digests. */
    void removeMember(const VmId &vm);
    void updateMark(const TargetMark &mark);

    /**
     * Builds a digest. Marks take up to half of the space before members are added, because
     * heartbeats are always newer and would otherwise displace the marks in a large fleet.
     * @param sender this VM
     * @param applied version and digest of the preset that this VM has applied
     */
    Digest build(const Member &sender, const ActivePreset &applied,
                 DigestScope scope = DigestScope::Updates);

    /** @return upper bound of the encoded size of a digest in bytes. */
    static std::size_t encodedSizeBound(const Digest &digest);

private:
    template<typename Item>
    struct Entry
    {
        Item item;
        std::uint64_t sequence = 0;
        unsigned transmissions = 0;
    };
    using MarkKey = std::pair<ServiceName, TargetId>;

    std::uint64_t m_sequence = 0;
    std::map<VmId, Entry<Member>> m_members;
    std::map<MarkKey, Entry<TargetMark>> m_marks;
};

} // namespace Sapphireladder
