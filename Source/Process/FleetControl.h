#pragma once

#include "Process/DigestState.h"
#include "Process/Membership.h"
#include "Process/Settings.h"
#include "Process/TargetMarks.h"

namespace Sapphireladder {

/** What the fleet's control asks for. Calls return at once; ends come as control messages. */
class PeerActions
{
public:
    virtual ~PeerActions() = default;
    /** Writes this VM's row; ends with HeartbeatWritten. */
    virtual void writeHeartbeat(const Member &self) = 0;
    /** Deletes this VM's row. */
    virtual void removeHeartbeat(const Member &self) = 0;
    /** Reads one shard of rows; ends with MembersRead. */
    virtual void readMembers(unsigned shard) = 0;
    /** Reads the platform's VM list; ends with VmListRead. */
    virtual void readVmList() = 0;
    /** Sends a digest; an answer comes as DigestHeard. */
    virtual void exchange(const Endpoint &peer, const Digest &digest) = 0;
    /** Tells a peer of an accepted switch. */
    virtual void pushPreset(const Endpoint &peer, const ActivePreset &inForce) = 0;
    /** Fetches a preset's text from a peer; ends with PresetRead. */
    virtual void fetchPreset(const Endpoint &peer, const ActivePreset &inForce) = 0;
};

/**
 * Keeps this VM's view of the other VMs and of leaving targets, and decides when to exchange it.
 * Used by the control thread alone.
 */
class FleetControl
{
public:
    /** Peers that one digest interval reaches. */
    static constexpr std::size_t fanOut = 2;
    /** Peers that a switch or a stop is told to at once; digests reach the others. */
    static constexpr std::size_t pushLimit = 32;
    /** Time between two reads of the platform's VM list. */
    static constexpr Duration vmListInterval = std::chrono::seconds(5);
    /** Time between two shard reads until each was read once; a full round at the interval takes 80
     * s. */
    static constexpr Duration firstShardInterval = std::chrono::milliseconds(250);
    /** Shortest time between two exchanges that news causes ahead of the interval. */
    static constexpr Duration hurryInterval = std::chrono::milliseconds(250);

    /**
     * @param settings outlive the object
     * @param self this VM
     * @param random for the choice of peers and for jitter
     * @param actions outlive the object
     * @param events outlive the object
     */
    FleetControl(const Settings &settings, Member self, RandomSource random, PeerActions &actions,
                 EventSink &events);

    /** Starts what is due. @param applied version that this VM applies */
    void tick(const ActivePreset &applied, TimePoint now);

    /** Takes a digest's members and marks. @return whether a mark changed. */
    bool hear(const Digest &digest, TimePoint now);
    /** Takes members from a digest or from rows. */
    void hear(std::span<const Member> members, TimePoint now);
    /** Takes a mark from any source. @return whether it changed. */
    bool hear(const TargetMark &mark);

    /** @return the answer to the digest that was heard last. */
    Digest answer(const ActivePreset &applied);
    /** Tells peers of a switch that this VM ran. */
    void push(const ActivePreset &inForce, TimePoint now);
    /** Lets the next tick exchange digests, because there is news. */
    void hurry() { m_hurry = true; }
    /** Tells peers that this VM stops, and deletes its row. */
    void stop(const ActivePreset &applied, TimePoint now);

    const Member &self() const { return m_membership.self(); }
    const TargetMarks &marks() const { return m_marks; }
    std::vector<Member> alive(TimePoint now) const { return m_membership.alive(now); }
    /** @return all peers that may be asked for a preset. */
    std::vector<Endpoint> peers(TimePoint now);

private:
    Duration jittered(Duration interval);
    void exchangeIfDue(const ActivePreset &applied, TimePoint now);
    void dropSilentMembers(TimePoint now);

    const Settings &m_settings;
    RandomSource m_random;
    PeerActions &m_actions;
    EventSink &m_events;

    Membership m_membership;
    DigestState m_digests;
    TargetMarks m_marks;

    TimePoint m_nextExchange{};
    TimePoint m_nextHurry{};
    TimePoint m_nextHeartbeat{};
    TimePoint m_nextShardRead{};
    TimePoint m_nextVmListRead{};
    unsigned m_shard = 0;
    unsigned m_shardsRead = 0;
    bool m_senderIsNew = false;
    bool m_hurry = false;
    bool m_stopped = false;
};

} // namespace Sapphireladder
