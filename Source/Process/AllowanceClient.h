#pragma once

#include "Process/AllowanceDelegation.h"
#include "Request/Request.h"

#include <array>
#include <deque>
#include <unordered_map>

namespace Sapphireladder {

/** Counters of the requests of workspaces with an allowance. */
struct AllowanceCounters
{
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    /** Requests for tokens that were sent to collectors, without repetitions. */
    std::uint64_t asked = 0;
    /** Requests for tokens that got no answer in time. */
    std::uint64_t unanswered = 0;
    /** Tokens that this VM took from its own share. */
    std::uint64_t ownTokens = 0;
    /** Tokens that expired unused. */
    std::uint64_t expiredTokens = 0;
};

/**
 * Grants requests by tokens of collectors, to which this VM delegates its own share, or by that
 * share while no collector has it. Used by the traffic thread only.
 */
class AllowanceClient final : public AllowanceGate
{
public:
    /** Shares that a VM delegates separately, so that the loss of one collector suspends only a
     * part of the allowances until its shares expire. */
    static constexpr unsigned slotCount = 2;
    /** Time after which a request for tokens is repeated, and then sent to another collector. */
    static constexpr Duration answerTimeout = std::chrono::milliseconds(25);
    /** Attempts at one collector. */
    static constexpr unsigned maxAttempts = 2;
    /** How long a request waits for a token. Must be less than the lifetime of a token. */
    static constexpr Duration maxWait = std::chrono::milliseconds(200);
    /** Longest time for which a collector's statement that there are no tokens is relied on. */
    static constexpr Duration maxEmptyTime = std::chrono::milliseconds(300);
    /** Retry-After of a request that was refused since no collector answered. */
    static constexpr Duration standardRetryAfter = std::chrono::milliseconds(500);
    /** Minimum time between two events about one workspace. */
    static constexpr Duration eventInterval = std::chrono::seconds(1);

    /**
     * The references must outlive the object.
     * @param owner random number of this process
     * @param isFleetCounted whether the fleet was counted before this process started
     */
    AllowanceClient(std::uint64_t owner, const Clock &clock, AllowanceTransport &transport,
                    EventSink &events, bool isFleetCounted = false);

    /** Sets the workspaces and whether there is anything to do at all. */
    void setWorkspaces(std::span<const Workspace> workspaces, const AllowancePolicy &policy);
    /** @param collectors in an order that is the same on every VM */
    void setCollectors(std::span<const Endpoint> collectors);
    void setFleetSize(unsigned vms);
    /** Processes an answer of a collector. */
    void receive(const Endpoint &sender, const AllowanceMessage &message);
    /** Performs what is due. @return when to call again, or nothing. */
    std::optional<TimePoint> tick();

    // AllowanceGate
    void acquire(const Workspace &workspace, Handler handler) override;
    bool tryAcquire(const Workspace &workspace) override;
    void giveBack(const Workspace &workspace) override;

    const AllowanceCounters &counters() const { return m_counters; }
    /** @return the part of all allowances that this VM has delegated. */
    double delegatedShare();
    /** @return the number of shares of this VM whose collector answers. */
    unsigned collectorCount() const;

private:
    struct Waiter
    {
        Handler handler;
        TimePoint since{};
    };
    /** A request for tokens that has no answer. */
    struct PendingAsk
    {
        std::uint64_t id = 0;
        unsigned count = 0;
        TimePoint sentAt{};
        TimePoint nextAttemptAt{};
        unsigned attempts = 0;
    };
    /** What is known of a workspace's tokens at the collector of one slot. */
    struct SlotState
    {
        std::optional<PendingAsk> ask;
        TimePoint emptyUntil{};
        TimePoint retryAt{};
    };
    struct WorkspaceState
    {
        std::deque<Waiter> waiters;
        /** Expiry times of unused tokens, in ascending order. */
        std::deque<TimePoint> tokens;
        /** Expiry times of tokens in use that may be given back, in ascending order. */
        std::deque<TimePoint> used;
        std::array<SlotState, slotCount> slots;
        TimePoint nextEventAt{};
        std::uint64_t refusedSinceEvent = 0;
    };
    /** A request for tokens whose answer is still of use. */
    struct AskRecord
    {
        std::string workspace;
        unsigned slot = 0;
        TimePoint sentAt{};
    };

    void answered(const TokenAnswer &answer, TimePoint now);
    /** Serves, asks for or refuses the waiting requests of a workspace. */
    void process(const std::string &name, WorkspaceState &state, TimePoint now);
    void serveWaiters(const std::string &name, WorkspaceState &state, TimePoint now);
    /** @return whether a token was taken. */
    bool takeToken(const std::string &name, WorkspaceState &state, TimePoint now);
    /** @return whether an answer may still arrive. */
    bool askCollectors(const std::string &name, WorkspaceState &state, TimePoint now);
    void send(const std::string &name, const PendingAsk &ask, unsigned slot);
    void refuseWaiters(const std::string &name, WorkspaceState &state, std::size_t keep,
                       TimePoint now);
    Duration retryAfter(const WorkspaceState &state, TimePoint now) const;
    void logRefusal(const std::string &name, WorkspaceState &state, TimePoint now);
    void expireTokens(WorkspaceState &state, TimePoint now);
    /** Moves this VM's shares to its own buckets or away from there. */
    void updateOwnShares(TimePoint now);
    void logCollectors();
    double slotShare(TimePoint now) { return m_estimate.share(now) / slotCount; }

    const std::uint64_t m_owner;
    const Clock &m_clock;
    AllowanceTransport &m_transport;
    EventSink &m_events;
    AllowanceShareEstimate m_estimate;
    std::array<AllowanceDelegation, slotCount> m_delegations;
    AllowancePool m_ownPool;
    bool m_isActive = false;
    std::unordered_map<std::string, WorkspaceState> m_states;
    /** Names of the workspaces with waiting requests. */
    std::vector<std::string> m_waiting;
    std::unordered_map<std::uint64_t, AskRecord> m_asks;
    std::deque<std::uint64_t> m_askOrder;
    std::uint64_t m_lastAskId = 0;
    std::string m_loggedCollectors;
    AllowanceCounters m_counters;
};

} // namespace Sapphireladder
