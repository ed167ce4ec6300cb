#pragma once

#include "Request/Request.h"

#include <memory>
#include <span>
#include <string_view>

namespace Sapphireladder {

/** What a front end for callers needs from the process. Safe for use by several threads. */
class TrafficService
{
public:
    virtual ~TrafficService() = default;

    /** @return the preset in force, or null before the first. */
    virtual std::shared_ptr<const PresetSnapshot> preset() const = 0;

    /**
     * Takes a request to its outcome. Waits as long as the request's deadline allows.
     * @param info the request
     * @param policy policy of its service, from preset()
     */
    virtual RequestOutcome serve(const RequestInfo &info, const ServicePolicy &policy,
                                 std::span<const HeaderField> headers, std::string_view body) = 0;

    /** Counts an outcome that was told to a caller. @param latency time since the request arrived
     */
    virtual void recordOutcome(const RequestOutcome &outcome, Duration latency) = 0;

    /** Closes connections to upstreams that were idle too long. Called now and then. */
    virtual void closeExpiredConnections() {}

    /** @return whether connections are to be closed after the answer, because the process stops. */
    virtual bool isStopping() const = 0;
};

} // namespace Sapphireladder
