#pragma once

#include "Core/Core.h"

#include <deque>
#include <optional>

namespace Sapphireladder {

/** Part of the limit for a cold target that one VM may use. */
struct ColdTargetShare
{
    /** Probability with which a VM is one of those that may send to a given cold target. */
    double selectionProbability = 0;
    /** Requests that such a VM may send to the target in any second. */
    unsigned requestsPerSecond = 0;

    friend bool operator==(const ColdTargetShare &, const ColdTargetShare &) = default;
};

/**
 * Probability that more VMs may send to a cold target than its limit allows. Each VM decides for
 * itself, so that the limit also holds while VMs cannot reach each other.
 */
constexpr double maxColdOvershootProbability = 1e-6;

/**
 * Divides the limit for a cold target among the VMs. In a small fleet, each VM gets an equal part.
 * In a larger one, a part would be less than one request, so that only some VMs may send.
 * @param fleetLimit requests that all VMs together may send to the target in any second
 * @param vms upper bound for the number of VMs
 */
ColdTargetShare coldTargetShare(unsigned fleetLimit, unsigned vms);

/** @return whether the VM is one of those that may send to this incarnation while it is cold. */
bool maySendToColdTarget(const ColdTargetShare &share, const VmId &vm, const TargetId &target,
                         Incarnation incarnation);

/**
 * Upper bound for the size of the fleet. A size that was counted may be too low for a while: VMs
 * join, and relays publish whom they serve one after the other. Used by one thread.
 */
class FleetSizeBound
{
public:
    /** How long a larger size stays in force. All relays publish their clients, and all VMs
     * receive the list, within this time. */
    static constexpr Duration retention = std::chrono::seconds(30);
    /** Growth of the fleet before it is counted again. */
    static constexpr double growthMargin = 1.15;

    /** The fleet has this size from now on. */
    void record(unsigned vms, TimePoint now);
    /** @return the bound, or nothing if no size is known. */
    std::optional<unsigned> bound(TimePoint now);

private:
    struct Size
    {
        unsigned vms = 0;
        /** When a smaller size replaced it, if one did. */
        std::optional<TimePoint> replacedAt;
    };

    /** Sizes in descending order, each smaller and newer than the one before. */
    std::deque<Size> m_sizes;
};

/**
 * Tracks whether one target is cold, and what this VM may still send to it. Used by one thread.
 */
class ColdTargetBudget
{
public:
    /** Time in which requests are counted. A request is written up to the connect timeout after
     * it was sent, so that the window exceeds the second of the limit by that. */
    static constexpr Duration window = std::chrono::milliseconds(1250);
    /** Largest number of requests in a window that is distinguished from no limit. */
    static constexpr unsigned maxCountedRequests = 64;

    /** @param now when this VM learnt of the target. It may have sent requests to it until then,
     * before a restart of this VM or while the target's record was missing. */
    explicit ColdTargetBudget(TimePoint now)
        : m_unknownUntil(now + window)
    {}

    /** Sets the requests that this VM may send in a window while the target is cold; absent if
     * cold targets of its service have no limit. */
    void setAllowance(std::optional<unsigned> requests);
    /** The registry reports how long the target stays cold. */
    void registryReported(Duration warmupLeft, TimePoint now);
    /** A response to a health probe states how long the target stays cold. */
    void probeReported(Duration warmupLeft, TimePoint probeSentAt, TimePoint now);
    void requestSent(TimePoint now);

    /** @return when the target is expected to be warm; in the past if it is. */
    TimePoint coldUntil() const { return std::max(m_coldByRegistryUntil, m_coldByProbeUntil); }
    bool isCold(TimePoint now) const { return now < coldUntil(); }
    /** @return whether this VM may send requests to the target while it is cold. */
    bool hasAllowance() const { return m_allowance && *m_allowance > 0; }
    bool isLimited() const { return m_allowance.has_value(); }
    /** @return whether a request may be sent now. */
    bool canSend(TimePoint now) const;
    /** @return whether the target is cold and gets its requests from few VMs, including this one,
     * which may send one now. */
    bool isWarmupDue(TimePoint now) const;

private:
    void discardOld();

    std::optional<unsigned> m_allowance;
    TimePoint m_unknownUntil;
    TimePoint m_coldByRegistryUntil{};
    TimePoint m_coldByProbeUntil{};
    TimePoint m_registryReportAt{};
    /** Times of the last requests, as many as the allowance, but at least one. */
    std::deque<TimePoint> m_sentAt;
};

} // namespace Sapphireladder
