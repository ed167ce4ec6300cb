#pragma once

#include "Request/Request.h"

#include <memory>
#include <span>
#include <string_view>

namespace Sapphireladder {

/** Interface between a caller front end and the process. Safe for use by several threads. */
class TrafficService
{
public:
    virtual ~TrafficService() = default;

    /** @return the preset in force, or null before the first. */
    virtual std::shared_ptr<const PresetSnapshot> preset() const = 0;

    /**
     * Runs a request. Blocks until its outcome is known, at most until the deadline of the request.
     * @param policy policy of the request's service, from preset()
     */
    virtual RequestOutcome serve(const RequestInfo &info, const ServicePolicy &policy,
                                 std::span<const HeaderField> headers, std::string_view body) = 0;

    /** Records an outcome sent to a caller. @param latency time since the request arrived */
    virtual void recordOutcome(const RequestOutcome &outcome, Duration latency) = 0;

    /** Closes expired idle connections to upstreams. Called periodically. */
    virtual void closeExpiredConnections() {}

    /** @return whether the process is stopping, so that each response closes its connection. */
    virtual bool isStopping() const = 0;
};

} // namespace Sapphireladder
