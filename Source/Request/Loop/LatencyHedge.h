#pragma once

#include "Request/Loop/AttemptSet.h"
#include "Request/Loop/TrafficEnvironment.h"

#include <optional>
#include <span>

namespace Sapphireladder {

/**
 * The hedge of one request: a second attempt that is sent beside a slow one to cut the latency.
 * There is at most one. Asks the policy and the budgets, and counts and logs what they decide.
 */
class LatencyHedge
{
public:
    /** @param environment outlives the hedge */
    explicit LatencyHedge(TrafficEnvironment &environment)
        : m_environment(environment)
    {}

    /**
     * Plans the hedge for an attempt that has just been sent.
     * @param context state of the request
     * @return the time after which the hedge starts, or nothing if there is none.
     */
    std::optional<Duration> plan(const HedgeContext &context, const Route &route);
    /** Asks the service's budgets before a target is searched. @return whether they allow a hedge.
     */
    bool isAllowed(const RequestInfo &info);
    /**
     * Takes the hedge from the budgets and from the workspace's allowance.
     * @param workspace the caller's workspace, or null
     * @return whether the hedge is to be sent.
     */
    bool take(const RequestInfo &info, const Workspace *workspace, const TargetId &target);
    /** No hedge is sent. */
    void deny(const RequestInfo &info, HedgeDenial denial);
    /** Returns the allowance if the hedge was not run. */
    void ended(const AttemptResult &result, const Workspace *workspace);
    /** @return whether the hedge was sent. */
    bool isSent() const { return m_isSent; }

    /**
     * Records attempts that are closed without a response with the time that they took so far.
     * Otherwise the quantiles would leave out the slowest attempts.
     */
    void recordClosed(std::span<const Attempt> attempts, const Route &route);

private:
    TrafficEnvironment &m_environment;
    HedgeStart m_start;
    bool m_isSent = false;
    bool m_holdsAllowance = false;
};

} // namespace Sapphireladder
