#pragma once

#include "Core/Core.h"

#include <optional>

namespace Sapphireladder {

/** How a VM of a large fleet follows the store. */
enum class FollowMode : std::uint8_t {
    /** As before. */
    Keep,
    /** Other VMs tell it everything. */
    Leave,
    /** It hears nothing from others. */
    Follow,
    /** Others rely on it. */
    FollowClosely,
};

/**
 * Decides whether a VM of a large fleet follows the store itself, from what it hears of others and
 * whether they ask it. Used by the control thread.
 */
class FollowRule
{
public:
    /**
     * Time for the first word of others before a VM that has just started follows the store. Others
     * told a VM that started alone within 48 to 106 ms (kanchferat-gw grown); after a power loss of
     * all VMs nobody does, and callers wait for all of this time.
     */
    static constexpr Duration firstWordTime = std::chrono::milliseconds(150);
    /** The same if all VMs start: the others count the fleet up to 1 s later. */
    static constexpr Duration firstStartWordTime = std::chrono::seconds(2);
    /** Time for which a VM that was asked follows the store. VMs ask about each second. */
    static constexpr Duration askedTime = std::chrono::milliseconds(2500);
    /** Age of the newest word of others up to which no store is needed. They speak each second. */
    static constexpr Duration fedAge = std::chrono::milliseconds(1600);
    /** Time for which others must have told changes before the VM stops following the store. */
    static constexpr Duration settleTime = std::chrono::seconds(2);
    /** Bounds of the time until another VM is asked after one failed, doubled each time. */
    static constexpr Duration firstLinkDelay = std::chrono::milliseconds(20);
    static constexpr Duration longestLinkDelay = std::chrono::milliseconds(250);

    /** The fleet was counted for the first time. @param isFirstStart all VMs start */
    void begin(bool isFirstStart, TimePoint now);
    /** Another VM asks this one for changes. */
    void asked(TimePoint now) { m_askedUntil = now + askedTime; }
    /** Another VM told that it follows the store. */
    void heard(TimePoint at) { m_heardAt = std::max(m_heardAt.value_or(at), at); }
    /** @return time to wait after a VM that was asked failed. */
    Duration linkFailed();

    /** @param isReader the VM reads the store for others by its own plan */
    FollowMode decide(bool isReader, TimePoint now);
    /** @return time until the next decision: the usual one, or less if a first word is due then. */
    Duration nextDecisionIn(Duration usual, TimePoint now) const;

private:
    bool isFed(TimePoint now) const { return m_heardAt && now - *m_heardAt <= fedAge; }

    TimePoint m_firstWordUntil{};
    TimePoint m_askedUntil{};
    std::optional<TimePoint> m_heardAt;
    /** Since when others have told changes without a gap. */
    std::optional<TimePoint> m_fedSince;
    Duration m_linkDelay = firstLinkDelay;
};

} // namespace Sapphireladder
