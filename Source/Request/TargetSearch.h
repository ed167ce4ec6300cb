#pragma once

#include "Request/AskBudget.h"
#include "Request/Reasons.h"
#include "Request/TargetFigures.h"

#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace Sapphireladder {

/** One target that a request could go to. */
struct SearchCandidate
{
    const TargetFigures *figures = nullptr;
    /** The target is in the VM's own availability zone. */
    bool isLocal = false;
    /** Budget of load questions for the target; outlives the search. */
    const AskBudget *askBudget = nullptr;
};

/** How a target is searched for. */
struct SearchPolicy
{
    /** Targets asked for their load at once, in the first round and in each further one. */
    std::size_t firstRound = 2;
    std::size_t nextRound = 3;
    /** Age up to which a load report is used as it is. Neighbours' load shifts in milliseconds. */
    Duration freshFor = std::chrono::milliseconds(30);
    /**
     * Age up to which a report is used in overload if no question is allowed. By older ones a
     * request mostly meets a full target (trouble-3 of nilecrest-gw grown: 41 of 100 in time; by
     * reports of up to 100 ms, 82).
     */
    Duration usefulFor = std::chrono::milliseconds(100);
    /** Age of the reports that tell whether room is rare. Bursts last for seconds. */
    Duration roomMemory = std::chrono::seconds(2);
    /** Reports of that age below which nothing is known of the service's room. */
    std::size_t minToldRoom = 3;
    /** Share of targets with room from which one is sent to by an old report. */
    double commonRoomShare = 0.75;
    /** Time for the answers of one round. A target answers in about 1 ms when it is well. */
    Duration roundTime = std::chrono::milliseconds(12);
    /** Cost at which a target is taken without comparing further ones: idle and not slowed. */
    double goodCost = 1.3;
    /** Targets asked in one pass. More would use up the budget of questions in overload. */
    std::size_t maxAsked = 9;
    /** Time between two passes while all targets are too busy. */
    Duration pause = std::chrono::milliseconds(20);
};

/** Time that one request has. */
struct SearchTime
{
    /** An answer up to then is in time. */
    TimePoint objectiveAt{};
    /** Then the request's time ends. */
    TimePoint deadline{};
    /** Time that the request's work takes on an idle target that nothing slows. */
    Duration work{};
    /** Up to then a slot of each target is left to more urgent requests. */
    TimePoint yieldsUntil{};
};

/** Asks these targets for their load. */
struct AskStep
{
    std::vector<std::size_t> candidates;
};
/** Sends the request to this target. */
struct SendStep
{
    std::size_t candidate = 0;
};
/** Waits for answers, or for the time given. */
struct WaitStep
{
    TimePoint until{};
    /** All targets are too busy; otherwise answers to questions are waited for. */
    bool isForRoom = false;
};
/** No target can run the request in time. */
struct RefuseStep
{
    RefusalReason reason = RefusalReason::NoUsableTarget;
};

using SearchStep = std::variant<AskStep, SendStep, WaitStep, RefuseStep>;

/**
 * Finds the target for one attempt. In overload, a request that can no longer be answered in time
 * is refused if any target is half full, unless a target is idle and not slowed: a slowed target
 * would be busy with it for long, and other requests would be late too. Load reports are older than
 * what they report lasts, so that the search asks a few targets just before sending, and takes the
 * first that is idle and not slowed.
 */
class TargetSearch
{
public:
    /**
     * @param policy outlives the search
     * @param candidates usable targets; own ones of the zone are asked first
     * @param time what the request's time allows
     */
    TargetSearch(const SearchPolicy &policy, std::vector<SearchCandidate> candidates,
                 const SearchTime &time, RandomSource &random);

    /** Called at the start, after each answer and when a wait is over. @return what to do next. */
    SearchStep next(TimePoint now);
    /** The candidate told its load; its figures hold it. */
    void answered(std::size_t candidate);
    /** The candidate did not tell its load. */
    void failed(std::size_t candidate);

    /** @return questions asked so far. */
    std::size_t asked() const { return m_askedCount; }

private:
    enum class State : std::uint8_t {
        Unasked,
        Asked,
        Answered,
        Failed,
    };

    /** @param maxAge age of the oldest reports that are used; nothing if any or none will do */
    std::optional<std::size_t> best(TimePoint now, std::optional<Duration> maxAge) const;
    /** @return the target to send to if no target answered a question of this pass. */
    std::optional<std::size_t> bestUntold(TimePoint now) const;
    AskStep askRound(TimePoint now);
    SearchStep decideAfterAll(TimePoint now);
    SearchStep pauseUntil(TimePoint end);
    /** @return whether a target is half full, or none told its load lately. */
    bool areSlotsScarce(TimePoint now) const;
    /** @return whether few of the targets that told their load lately had a free slot. */
    bool isRoomRare(TimePoint now) const;
    bool hasRoom(const TargetFigures &figures, TimePoint now) const;
    double costOf(std::size_t candidate, TimePoint now) const;

    const SearchPolicy &m_policy;
    std::vector<SearchCandidate> m_candidates;
    std::vector<State> m_states;
    /** Candidates in the order in which they are asked. */
    std::vector<std::size_t> m_order;
    std::size_t m_nextInOrder = 0;
    std::size_t m_outstanding = 0;
    std::size_t m_askedCount = 0;
    std::size_t m_askedInPass = 0;
    TimePoint m_roundEnd{};
    TimePoint m_pauseEnd{};
    SearchTime m_time;
};

} // namespace Sapphireladder
