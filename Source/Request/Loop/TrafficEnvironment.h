#pragma once

#include "Connection/Loop/ConnectionLoop.h"
#include "Request/Request.h"

#include <memory>
#include <optional>
#include <span>

namespace Sapphireladder {

/** Process-wide state and services that requests use. Used by the traffic thread only. */
class TrafficEnvironment
{
public:
    virtual ~TrafficEnvironment() = default;

    virtual LoopContext &context() = 0;
    virtual const HeaderCodec &headerCodec() const = 0;
    virtual EventSink &events() = 0;
    virtual RandomSource &random() = 0;
    virtual const SearchPolicy &searchPolicy() const = 0;
    /** @return whether requests are accepted that have arrived just now. */
    virtual bool acceptsRequests() const = 0;
    /** @return when all requests must have ended because the process stops, if it does. */
    virtual std::optional<TimePoint> stopDeadline() const = 0;
    /** @return the active routes, or null before the first are known. */
    virtual std::shared_ptr<const RouteTable> routes() const = 0;
    /** @return all targets of a service, usable or not. */
    virtual std::span<const std::shared_ptr<Upstream>> upstreams(const ServiceName &service) = 0;
    /** @return the targets of a service that this VM uses; see selectSubset(). */
    virtual std::span<const std::shared_ptr<Upstream>>
    preferredUpstreams(const ServiceName &service) = 0;
    /** @return what grants requests within the allowances of workspaces. */
    virtual AllowanceGate &allowances() = 0;
    /** @return the retry budget of a service. */
    virtual RetryTokens &retryTokens(const ServiceName &service) = 0;
    virtual WeightedServiceSelector &serviceSelector(const Route &route) = 0;
    /** @return estimated service time of a route's requests on an idle target. */
    virtual Duration expectedServiceTime(const Route &route) const = 0;
    /** A request was served. @param serviceTime its latency divided by the target's cost when it
     * was sent */
    virtual void recordServiceTime(const Route &route, Duration serviceTime) = 0;
    /** @return whether slow attempts may be hedged. */
    virtual bool isHedgingEnabled() const = 0;
    /** @return the policy of a search for the target of a hedge. */
    virtual const SearchPolicy &hedgeSearchPolicy() const = 0;
    /** @return latencies of a route's attempts, divided by the cost of their targets. */
    virtual LatencyWindow &latencies(const Route &route) = 0;
    /** @return the limits on the hedges of a service. */
    virtual HedgeBudget &hedgeBudget(const ServiceName &service) = 0;
    /** @return whether requests are admitted by priority in an overload. */
    virtual bool isAdmissionEnabled() const = 0;
    /** Decides whether a request that has arrived is admitted. @return nothing if it is. */
    virtual std::optional<OverloadRefusal> checkOverload(const ServiceName &service,
                                                         const RequestPriority &priority) = 0;
    virtual RequestObserver &observer() = 0;
    /** A request ended. @param latency time since its first byte arrived */
    virtual void recordOutcome(const RequestOutcome &outcome, Duration latency) = 0;
    /** The caller disconnected before its request ended. */
    virtual void recordAbandoned() = 0;
};

} // namespace Sapphireladder
