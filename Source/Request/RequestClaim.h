#pragma once

#include "Request/ClaimStateMachine.h"
#include "Request/RequestInfo.h"
#include "Request/RequestInterfaces.h"

#include <optional>

namespace Sapphireladder {

/**
 * Acquires and releases the claim of one request. A request that is idempotent or has no
 * idempotency key needs no claim; beginAttempt() then always allows the attempt, and the other
 * functions do nothing.
 */
class RequestClaim
{
public:
    /**
     * @param dependencies the claim store; if null, every request that needs a claim is refused
     * @param info the request, valid as long as the object
     * @param clock monotonic clock
     */
    RequestClaim(const ClaimDependencies *dependencies, const RequestInfo &info,
                 const Clock &clock);

    /**
     * Called immediately before each attempt. The first call inserts the claim.
     * @return nothing if the attempt may start now, otherwise the outcome of the request.
     */
    std::optional<RequestOutcome> beginAttempt();
    void attemptEnded(const AttemptResult &result);

    /**
     * Called once with the outcome, before it is sent to the caller. Records a response, or
     * releases the claim of a request that no target ran. Neither write is retried: if it is lost,
     * duplicates get "already accepted".
     */
    void settle(const RequestOutcome &outcome);

private:
    void acquire();

    const ClaimDependencies *m_dependencies;
    const RequestInfo &m_info;
    const Clock &m_clock;
    const bool m_isNeeded;
    std::optional<ClaimStateMachine> m_machine;
};

} // namespace Sapphireladder
