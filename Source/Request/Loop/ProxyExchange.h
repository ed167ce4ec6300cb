#pragma once

#include "Request/Loop/LatencyHedge.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Sapphireladder {

/** Proxies one request, from routing to the reply. Lives for the request, on the traffic thread. */
class ProxyExchange final
    : public PendingRequestHandle
    , public std::enable_shared_from_this<ProxyExchange>
{
public:
    /** @param environment outlives the exchange */
    ProxyExchange(TrafficEnvironment &environment, CallerRequest request,
                  RequestHandler::ReplyHandler reply);

    /** @return whether start() refuses the request whatever its body is. */
    static bool refusesHead(const TrafficEnvironment &environment, const CallerRequest &head);
    void start();
    void cancel() override;
    void expire() override { deadlinePassed(); }

private:
    /** What a target is searched for. */
    enum class SearchPurpose : std::uint8_t {
        /** The first attempt or a retry. */
        Attempt,
        /** A hedge of a stalled attempt; the retry budget has not been asked yet. */
        StallHedge,
        /** A hedge that cuts the latency. */
        LatencyHedge,
    };

    /** Sets the caller's workspace. @return whether the route accepts the caller's key. */
    bool identifyCaller();
    void allowanceDecided(const AllowanceDecision &decision);
    /** Returns the allowance that was granted, if no target can have run the request. */
    void returnAllowance();
    RequestPriority priority() const;
    void findTarget();
    /**
     * Restarts the search with all targets of the service if it considers the subset only.
     * @return whether it did.
     */
    bool widenSearch();
    /** Sets the candidates to the usable ones of these targets that were not tried yet. */
    void collectCandidates(std::span<const std::shared_ptr<Upstream>> upstreams);
    void continueSearch();
    void perform(const ProbeStep &step);
    void perform(const SendStep &step);
    void perform(const WaitStep &step);
    void perform(const RefuseStep &step);
    void send(const std::shared_ptr<Upstream> &upstream);
    /** @return the head of an attempt. */
    std::string encodeAttempt(const Upstream &upstream, Duration timeLeft) const;
    void attemptEnded(unsigned number, AttemptResult result);
    void updateTarget(const Attempt &attempt, const AttemptResult &result,
                      const ResponseMetadata &metadata, HealthSignal healthSignal);
    bool shouldRetry(const FailedAttempt &failure);
    /**
     * Searches a target for a hedge: another attempt beside one without a response. The attempts in
     * progress go on, since their targets may be working on the request.
     */
    void attemptStalled();
    /** Searches a target for a hedge that cuts the latency. */
    void hedgeDue();
    /** @return whether the budgets permit an attempt at the target that the search has found. */
    bool isAttemptPermitted(const Upstream &upstream);
    /** Stops searching for another target, and waits for the attempts in progress. */
    void awaitAttempts();
    /** Closes the connections of all attempts in progress. */
    void closeAttempts(HealthSignal healthSignal);
    /** Delivers what is known after the last attempt has failed. */
    void finishFailed(RefusalReason refusalReason);
    bool isTried(const Upstream &upstream) const;
    bool hasUntriedTarget() const;
    void deadlinePassed();
    /** @return when a response must arrive to meet the latency objective, or the deadline. */
    TimePoint objectiveDeadline() const;
    /** @return when attempts must have ended: the deadline, or the end of the process if earlier.
     */
    TimePoint attemptDeadline() const;
    SearchTimeLimits searchTimeLimits() const;
    RequestInfo info() const;
    void refuse(RefusalReason reason);
    void finish(RequestOutcome outcome);
    std::vector<HeaderField> replyFields(const RequestOutcome &outcome);
    void logAttempt(const Attempt &attempt) const;
    void logOutcome(const RequestOutcome &outcome) const;

    TrafficEnvironment &m_environment;
    /** Shared with the attempts. */
    const std::shared_ptr<const std::string> m_body;
    /** The request without its body. */
    const CallerRequest m_request;
    RequestHandler::ReplyHandler m_reply;
    CallerMetadata m_callerMetadata;
    /** Keeps the route alive. */
    std::shared_ptr<const RouteTable> m_routes;
    const Route *m_route = nullptr;
    /** The caller's workspace; null if it has none. Kept alive by the routes. */
    const Workspace *m_workspace = nullptr;
    /** A request of the workspace's allowance was granted, and not returned. */
    bool m_holdsAllowance = false;
    /** When there is room again, if the allowance was exceeded or the service is overloaded. */
    std::optional<Duration> m_retryAfter;
    ServiceName m_service;
    TimePoint m_deadline{};
    LoopTimer m_deadlineTimer;
    LoopTimer m_waitTimer;
    /** Stall limit of the attempt that was sent last. */
    LoopTimer m_stallTimer;
    LoopTimer m_hedgeTimer;
    std::optional<TargetSearch> m_search;
    /** Whether the search considers all targets instead of this VM's subset. */
    bool m_isSearchWidened = false;
    std::vector<std::shared_ptr<Upstream>> m_candidates;
    AttemptSet m_attempts;
    LatencyHedge m_hedge;
    unsigned m_attemptCount = 0;
    SearchPurpose m_searchPurpose = SearchPurpose::Attempt;
    /** The wait for a free slot is logged once for a request. */
    bool m_hasLoggedWait = false;
    std::vector<TargetId> m_triedTargets;
    /** When the first paused target is usable again, if a pause excluded any. */
    std::optional<TimePoint> m_targetUsableAt;
    TargetId m_lastTarget;
    /** Set once an attempt ended without proof that the target did not run the request. */
    std::optional<Unknown> m_mayHaveRun;
    /** Server error of a target, delivered if no retry succeeds. */
    std::optional<Response> m_serverErrorResponse;
};

} // namespace Sapphireladder
