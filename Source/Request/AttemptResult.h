#pragma once

#include "Request/HeaderField.h"
#include "Request/Reasons.h"
#include "Version/Version.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Sapphireladder {

/** A whole answer of a target. */
struct Answer
{
    unsigned status = 0;
    std::vector<HeaderField> headers;
    std::string body;
};

/** Load that a target states with an answer. */
struct LoadReport
{
    unsigned inFlight = 0;
    unsigned slots = 0;
    /** Requests that wait for a slot. */
    unsigned waiting = 0;
    /** How much longer work takes now than usual on the target's machine; 1 is as usual. */
    double slowdown = 1.0;
};

/** The target gave a whole answer. */
struct Answered
{
    Answer answer;
};

/** The target surely did not run the request: nothing was sent, or it said so. */
struct NotRun
{
    RetryReason reason = RetryReason::ConnectFailed;
};

/** The target may have run the request. */
struct Unknown
{
    UnknownReason reason = UnknownReason::ConnectionReset;
};

/** How one attempt at one target ended. */
struct AttemptResult
{
    std::variant<Answered, NotRun, Unknown> end;
    std::optional<LoadReport> load;
    /** The target said that it is leaving. */
    bool draining = false;
    Duration latency{};
};

/** What a caller is told if its request was refused. */
struct Refusal
{
    RefusalReason reason = RefusalReason::BadRequest;
};

/** How a caller's request ended. Exactly one of the three. */
using RequestOutcome = std::variant<Answer, Refusal, Unknown>;

} // namespace Sapphireladder
