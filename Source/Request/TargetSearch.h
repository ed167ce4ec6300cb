#pragma once

#include "Request/LoadProbeBudget.h"
#include "Request/Reasons.h"
#include "Request/TargetStats.h"

#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace Sapphireladder {

/** A target that a request may be sent to. */
struct SearchCandidate
{
    const TargetStats *stats = nullptr;
    /** The target is in this VM's availability zone. */
    bool isLocal = false;
    /** Budget for load probes to the target; outlives the search. */
    const LoadProbeBudget *probeBudget = nullptr;
    /** The target is cold and gets few requests, of which this one may be the next. It is used
     * before others if it can respond in time, since few VMs may send to it. */
    bool isWarmupDue = false;
};

/** Parameters of a target search. */
struct SearchPolicy
{
    /** Targets probed concurrently in the first round, and in each further round. */
    std::size_t firstRoundSize = 2;
    std::size_t nextRoundSize = 3;
    /** Age up to which a load report counts as current. Load on shared hosts changes within
     * milliseconds. */
    Duration currentReportMaxAge = std::chrono::milliseconds(30);
    /**
     * Age up to which a report is used in overload if no probe was answered, for example because
     * the probe budget is empty. Older reports mostly lead to full targets: with them, 41 % of
     * the requests were answered in time, and 82 % with reports of up to 100 ms.
     */
    Duration usableReportMaxAge = std::chrono::milliseconds(100);
    /** Age up to which reports show whether free slots are rare. Bursts last for seconds. */
    Duration scarcityWindow = std::chrono::seconds(2);
    /** Number of such reports below which free slots are not considered rare. */
    std::size_t minScarcityReports = 3;
    /** Share of these reports that must show a free slot for reports of any age to be used. */
    double commonFreeSlotShare = 0.75;
    /** Time limit of one probe round. A healthy target answers in about 1 ms. */
    Duration probeRoundTimeout = std::chrono::milliseconds(12);
    /** Cost up to which a target is selected without probing others: idle and not slowed. */
    double immediateSendCost = 1.3;
    /** Largest number of probes in one pass, which consists of several rounds. More would exhaust
     * the probe budget in overload. */
    std::size_t maxProbesPerPass = 9;
    /** Pause between two passes while all targets are too busy. */
    Duration passInterval = std::chrono::milliseconds(20);
    /** Refuses after one pass unless a target with less than half of its slots busy and without a
     * slowdown is found. Probes nothing while free slots are rare. */
    bool requiresIdleTarget = false;
};

/** Time limits of one request. */
struct SearchTimeLimits
{
    /** Latency objective: a response until then is in time. */
    TimePoint objectiveAt{};
    TimePoint deadline{};
    /** Expected service time on an idle target without slowdown. */
    Duration serviceTime{};
    /** Until this time, one slot of each target is left free for more urgent requests. */
    TimePoint reservesSlotUntil{};
    /** A target that reports its load is used only if a recent report shows a free slot. A request
     * that must not be repeated is lost if a full target resets its connection. */
    bool requiresRecentReport = false;
};

/** Sends load probes to these targets. */
struct ProbeStep
{
    std::vector<std::size_t> candidates;
};
/** Sends the request to this target. */
struct SendStep
{
    std::size_t candidate = 0;
};
/** Waits at most until the given time. */
struct WaitStep
{
    TimePoint until{};
    /** True: waits for a free slot, since all targets are too busy. False: for probe answers. */
    bool isForFreeSlot = false;
};
/** Refuses the request, since no target can run it in time. */
struct RefuseStep
{
    RefusalReason reason = RefusalReason::NoUsableTarget;
};

using SearchStep = std::variant<ProbeStep, SendStep, WaitStep, RefuseStep>;

/**
 * Finds the target for one attempt. Load reports are outdated within milliseconds, so the search
 * probes a few targets immediately before sending and selects the first that is idle and not
 * slowed. A request that can no longer meet its latency objective is refused if any target is half
 * full, unless a target is idle and not slowed. It would occupy a slowed target for a long time and
 * make other requests late too.
 */
class TargetSearch
{
public:
    /**
     * @param policy outlives the search
     * @param candidates usable targets; those in this VM's availability zone are probed first
     * @param timeLimits time limits of the request
     */
    TargetSearch(const SearchPolicy &policy, std::vector<SearchCandidate> candidates,
                 const SearchTimeLimits &timeLimits, RandomSource &random);

    /** Called at the start, after each probe and after each wait. @return the next step. */
    SearchStep next(TimePoint now);
    /** The candidate answered its probe, and its load was updated. */
    void probeAnswered(std::size_t candidate);
    /** The probe of the candidate failed. */
    void probeFailed(std::size_t candidate);

    /** @return number of probes sent so far. */
    std::size_t probeCount() const { return m_probeCount; }

private:
    enum class ProbeState : std::uint8_t {
        NotProbed,
        /** The probe was sent and has not been answered yet. */
        Pending,
        Answered,
        Failed,
    };

    /**
     * @param maxAge age up to which reports are used; if absent, the age does not matter, and
     * candidates without a report are considered too
     * @return the candidate with a free slot that has the lowest cost.
     */
    std::optional<std::size_t> findBest(TimePoint now, std::optional<Duration> maxAge) const;
    /** @return a cold target that may get the request and has reported room for it. */
    std::optional<std::size_t> findWarmup(TimePoint now) const;
    TimePoint expectedEnd(double cost, TimePoint now) const;
    /** @return the target to use if none answered a probe in this pass. */
    std::optional<std::size_t> findBestWithoutAnswers(TimePoint now) const;
    ProbeStep startProbeRound(TimePoint now);
    SearchStep decideAfterProbing(TimePoint now);
    SearchStep waitForNextPass(TimePoint nextPassAt);
    /** @return whether any target is at least half full, or no target has a current report. */
    bool isLoadHighOrUnknown(TimePoint now) const;
    /** @return whether any target has ever reported its load. */
    bool hasLoadReports() const;
    /** @return whether few of the targets with a recent report had a free slot. */
    bool areFreeSlotsRare(TimePoint now) const;
    bool hasFreeSlot(const TargetStats &stats, TimePoint now) const;
    double costOf(std::size_t candidate, TimePoint now) const;

    const SearchPolicy &m_policy;
    std::vector<SearchCandidate> m_candidates;
    std::vector<ProbeState> m_probeStates;
    /** Candidates in the order in which they are probed. */
    std::vector<std::size_t> m_probeOrder;
    /** Position in m_probeOrder at which the next round starts. */
    std::size_t m_nextProbe = 0;
    /** Pending probes of the current round. */
    std::size_t m_pendingProbes = 0;
    std::size_t m_probeCount = 0;
    std::size_t m_probesInPass = 0;
    TimePoint m_roundEndsAt{};
    TimePoint m_nextPassAt{};
    SearchTimeLimits m_timeLimits;
};

} // namespace Sapphireladder
