#pragma once

#include "Connection/Loop/ConnectionLoop.h"
#include "Request/Request.h"

#include <memory>
#include <span>

namespace Sapphireladder {

/** What requests use of the process. Used by the traffic thread only. */
class TrafficHost
{
public:
    virtual ~TrafficHost() = default;

    virtual LoopContext &context() = 0;
    virtual const ProxyDialect &dialect() const = 0;
    virtual EventSink &events() = 0;
    virtual RandomSource &random() = 0;
    virtual const SearchPolicy &searchPolicy() const = 0;
    /** @return the routes in force, or null before the first are known. */
    virtual std::shared_ptr<const RouteTable> routes() const = 0;
    /** @return all targets of a service, usable or not. */
    virtual std::span<const std::shared_ptr<Upstream>> upstreams(const ServiceName &service) = 0;
    /** @return the budget of repeated attempts of a service. */
    virtual RetryTokens &retryTokens(const ServiceName &service) = 0;
    virtual SplitChooser &splitOf(const Route &route) = 0;
    /** @return time that the work of a route's request takes on an idle target, as learnt so far.
     */
    virtual Duration expectedWork(const Route &route) const = 0;
    /** A request was served. @param work its time, divided by the cost expected when it was sent */
    virtual void recordWork(const Route &route, Duration work) = 0;
    virtual RequestObserver &observer() = 0;
    /** A request ended. @param latency time since its first byte arrived */
    virtual void recordOutcome(const RequestOutcome &outcome, Duration latency) = 0;
    /** The caller left before its request ended. */
    virtual void recordAbandoned() = 0;
};

} // namespace Sapphireladder
