#pragma once

#include "Core/Core.h"

#include <optional>

namespace Sapphireladder {

/** How a VM of a large fleet follows changes in the store. */
enum class StoreFollowMode : std::uint8_t {
    /** No change. */
    Unchanged,
    /** Do not follow the store: other VMs relay all changes. */
    Stop,
    /** Follow the store: no other VM relays changes. */
    Follow,
    /** Follow the store at the short interval: other VMs depend on this one. */
    FollowClosely,
};

/**
 * Decides whether a VM of a large fleet follows the store itself, depending on whether other VMs
 * relay changes to it and whether they request changes from it. Used by the control thread only.
 */
class StoreFollowRule
{
public:
    /**
     * How long a VM that has just started waits for a first relayed update before it follows the
     * store. A VM that starts alone gets one within 48 to 106 ms. After a power loss of all VMs
     * there is none, and callers wait for the whole timeout.
     */
    static constexpr Duration firstUpdateTimeout = std::chrono::milliseconds(150);
    /** Used instead while another VM has accepted the query and prepares its first response, as
     * after a restart of the whole fleet. */
    static constexpr Duration pendingQueryTimeout = std::chrono::seconds(1);
    /** Used instead if all VMs start at once: others may read the fleet list up to 1 s later. */
    static constexpr Duration fleetStartTimeout = std::chrono::seconds(2);
    /** How long a VM follows the store after a request. Other VMs send one about every second. */
    static constexpr Duration requestRetention = std::chrono::milliseconds(1300);
    /** Duration of relayed updates without a gap after which a VM that lacked them stops following
     * the store. One that followed it only for others stops with the first update. */
    static constexpr Duration settleTime = std::chrono::seconds(2);
    /** Bounds of the exponential backoff before another VM is tried after a failure. */
    static constexpr Duration minLinkBackoff = std::chrono::milliseconds(20);
    static constexpr Duration maxLinkBackoff = std::chrono::milliseconds(250);

    /** @param maxUpdateAge maximum age of what other VMs relayed while the VM relies on it */
    explicit StoreFollowRule(Duration maxUpdateAge)
        : m_maxUpdateAge(maxUpdateAge)
    {}

    /** The fleet list was read for the first time. @param isFirstStart all VMs start at once */
    void start(bool isFirstStart, TimePoint now);
    /** Another VM requested changes from this one. */
    void recordRequest(TimePoint now) { m_requestedUntil = now + requestRetention; }
    /** @return whether another VM requested changes a short while ago. */
    bool isRequested(TimePoint now) const { return now < m_requestedUntil; }
    /** A VM that accepted this VM's query has not responded yet. */
    void recordPendingQuery()
    {
        m_firstUpdateDeadline = std::max(m_firstUpdateDeadline, m_startedAt + pendingQueryTimeout);
    }
    /**
     * Another VM that follows the store sent an update.
     * @param completeUntil time until which it has all changes that the store confirmed
     */
    void recordUpdate(TimePoint completeUntil)
    {
        m_completeUntil = std::max(m_completeUntil.value_or(completeUntil), completeUntil);
    }
    /** @return backoff after a VM failed to relay changes. */
    Duration nextLinkBackoff();

    /** @param isReader RelayPlan assigns the VM the role of a reader */
    StoreFollowMode decide(bool isReader, TimePoint now);
    /** @return time until the next decision: the usual interval, or the rest of a timeout. */
    Duration timeToNextDecision(Duration usualInterval, TimePoint now) const;

private:
    bool hasRecentUpdate(TimePoint now) const
    {
        return m_completeUntil && now - *m_completeUntil <= m_maxUpdateAge;
    }

    const Duration m_maxUpdateAge;

    TimePoint m_startedAt{};
    TimePoint m_firstUpdateDeadline{};
    TimePoint m_requestedUntil{};
    std::optional<TimePoint> m_completeUntil;
    /** Since when updates have been relayed without a gap. */
    std::optional<TimePoint> m_relayedSince;
    /**
     * Whether the VM follows the store only because others depend on it. False once it lacked
     * updates itself, empty while it does not follow the store.
     */
    std::optional<bool> m_followsForOthers;
    Duration m_linkBackoff = minLinkBackoff;
};

} // namespace Sapphireladder
