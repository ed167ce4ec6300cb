#pragma once

#include "Process/PeerMessages.h"

#include <map>
#include <utility>

namespace Sapphireladder {

/** What a digest carries of the members. */
enum class DigestExtent {
    /** Only what this VM has not told often yet. */
    News,
    /** Everything that fits, for a VM that is new to this one. */
    Everything,
};

/** Keeps what digests carry, ordered by when this VM learned it. */
class DigestState
{
public:
    /** Largest encoded digest in bytes; one datagram's worth. */
    static constexpr std::size_t sizeLimit = 1400;
    /**
     * Digests that carry one report of a member. Each VM that learns of it tells about six others,
     * which leaves out one VM in 400; the next heartbeat reaches that one.
     */
    static constexpr unsigned tellLimit = 6;

    void noteMember(const Member &member);
    /** Leaves a silent member out of later digests. */
    void forgetMember(const VmId &vm);
    void noteMark(const TargetMark &mark);

    /**
     * Makes a digest. Marks get up to half of the space ahead of members, since heartbeats are
     * always newer and would otherwise push the marks out of a large fleet's digests.
     * @param sender this VM
     * @param inForce version and digest that this VM applies
     */
    Digest build(const Member &sender, const ActivePreset &inForce,
                 DigestExtent extent = DigestExtent::News);

    /** @return upper bound of the encoded size of a digest in bytes. */
    static std::size_t sizeBound(const Digest &digest);

private:
    template<typename Item>
    struct Noted
    {
        Item item;
        std::uint64_t sequence = 0;
        unsigned told = 0;
    };
    using MarkKey = std::pair<ServiceName, TargetId>;

    std::uint64_t m_sequence = 0;
    std::map<VmId, Noted<Member>> m_members;
    std::map<MarkKey, Noted<TargetMark>> m_marks;
};

} // namespace Sapphireladder
