#pragma once

#include "Request/HeaderField.h"
#include "Request/Reasons.h"
#include "Version/Version.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Sapphireladder {

/** A complete response of a target. */
struct Response
{
    unsigned status = 0;
    std::vector<HeaderField> headers;
    std::string body;
};

/** Load that a target reports in a response. */
struct LoadReport
{
    unsigned inFlight = 0;
    unsigned slots = 0;
    /** Requests that wait for a slot. */
    unsigned waiting = 0;
    /** Current service time as a multiple of the service time without slowdown. */
    double slowdown = 1.0;
};

/** The target sent a complete response. */
struct Answered
{
    Response response;
};

/** The target did not run the request: nothing was sent, or the target stated so. */
struct NotRun
{
    RetryReason reason = RetryReason::ConnectFailed;
};

/** The target may have run the request. */
struct Unknown
{
    UnknownReason reason = UnknownReason::ConnectionReset;
};

/** Result of one attempt at one target. */
struct AttemptResult
{
    std::variant<Answered, NotRun, Unknown> outcome;
    std::optional<LoadReport> load;
    /** The target announced that it is draining. */
    bool draining = false;
    Duration latency{};
};

/** The caller's request was refused and not run. */
struct Refusal
{
    RefusalReason reason = RefusalReason::BadRequest;
};

/** Final outcome of a caller's request. */
using RequestOutcome = std::variant<Response, Refusal, Unknown>;

} // namespace Sapphireladder
