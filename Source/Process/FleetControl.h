#pragma once

#include "Process/DigestBuilder.h"
#include "Process/Membership.h"
#include "Process/Settings.h"
#include "Process/TargetMarks.h"

namespace Sapphireladder {

/** Fleet I/O that FleetControl starts. Calls return immediately; results arrive as messages. */
class PeerActions
{
public:
    virtual ~PeerActions() = default;
    /** Writes this VM's heartbeat row; completes with HeartbeatWritten. */
    virtual void writeHeartbeat(const Member &self) = 0;
    /** Deletes this VM's heartbeat row. */
    virtual void removeHeartbeat(const Member &self) = 0;
    /** Reads one shard of heartbeat rows; completes with MembersRead. */
    virtual void readMembers(unsigned shard) = 0;
    /** Reads the platform's VM list; completes with VmListRead. */
    virtual void readVmList() = 0;
    /** Sends a digest; the reply arrives as DigestReceived. */
    virtual void exchange(const Endpoint &peer, const Digest &digest) = 0;
    /** Announces an accepted switch to a peer. */
    virtual void pushPreset(const Endpoint &peer, const ActivePreset &activePreset) = 0;
    /** Fetches a preset's text from a peer; completes with PresetRead. */
    virtual void fetchPreset(const Endpoint &peer, const ActivePreset &activePreset) = 0;
};

/**
 * Gossip with the other VMs: tracks the members of the fleet and leaving targets, and decides when
 * to exchange digests. Used by the control thread only.
 */
class FleetControl
{
public:
    /** Peers contacted in each digest interval. */
    static constexpr std::size_t fanOut = 2;
    /** Peers that are notified directly of a switch or a shutdown; digests reach the others. */
    static constexpr std::size_t maxNotifiedPeers = 32;
    /** Time between two reads of the platform's VM list. */
    static constexpr Duration vmListInterval = std::chrono::seconds(5);
    /** Interval of the first round of shard reads; at the heartbeat interval it would take 80 s. */
    static constexpr Duration firstShardInterval = std::chrono::milliseconds(250);
    /** Minimum time between two exchanges that are triggered by changes. */
    static constexpr Duration minExchangeInterval = std::chrono::milliseconds(250);

    /**
     * @param settings must outlive the object
     * @param self this VM
     * @param random for the selection of peers and for jitter
     * @param actions must outlive the object
     * @param events must outlive the object
     */
    FleetControl(const Settings &settings, Member self, RandomSource random, PeerActions &actions,
                 EventSink &events);

    /** Starts all I/O that is due. @param applied version that this VM has applied */
    void tick(const ActivePreset &applied, TimePoint now);

    /** Merges a digest's members and marks. @return whether a mark changed. */
    bool merge(const Digest &digest, TimePoint now);
    /** Merges members from a digest or from heartbeat rows. */
    void merge(std::span<const Member> members, TimePoint now);
    /** Merges a mark from any source. @return whether it is newer and sets or undoes leaving. */
    bool merge(const TargetMark &mark);

    /** @return the reply to the digest that was merged last. */
    Digest createReply(const ActivePreset &applied);
    /** Announces a switch that this VM ran to peers. */
    void announcePreset(const ActivePreset &activePreset, TimePoint now);
    /** Makes the next tick exchange digests, because something changed. */
    void requestExchange() { m_isExchangeRequested = true; }
    /** Announces to peers that this VM is stopping, and deletes its heartbeat row. */
    void stop(const ActivePreset &applied, TimePoint now);

    const Member &self() const { return m_membership.self(); }
    const TargetMarks &marks() const { return m_marks; }
    std::vector<Member> liveMembers(TimePoint now) const { return m_membership.liveMembers(now); }
    /** @return up to maxNotifiedPeers random live peers, or seeds if too few are known. */
    std::vector<Endpoint> peers(TimePoint now);

private:
    Duration jittered(Duration interval);
    void exchangeIfDue(const ActivePreset &applied, TimePoint now);
    void dropLostMembers(TimePoint now);

    const Settings &m_settings;
    RandomSource m_random;
    PeerActions &m_actions;
    EventSink &m_events;

    Membership m_membership;
    DigestBuilder m_digestBuilder;
    TargetMarks m_marks;

    TimePoint m_nextExchange{};
    TimePoint m_nextRequestedExchange{};
    TimePoint m_nextHeartbeat{};
    TimePoint m_nextShardRead{};
    TimePoint m_nextVmListRead{};
    unsigned m_shard = 0;
    unsigned m_shardsRead = 0;
    /** Whether the sender of the digest that was merged last was unknown or lost. */
    bool m_senderIsNew = false;
    bool m_isExchangeRequested = false;
    bool m_isStopped = false;
};

} // namespace Sapphireladder
