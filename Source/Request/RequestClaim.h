#pragma once

#include "Request/ClaimMachine.h"
#include "Request/RequestInfo.h"
#include "Request/RequestPorts.h"

#include <optional>

namespace Sapphireladder {

/**
 * Keeps the claim of one request while it runs. A request that is idempotent or has no key needs no
 * claim; every function then allows everything and does nothing.
 */
class RequestClaim
{
public:
    /**
     * @param ports where claims are kept; null refuses every request that needs a claim
     * @param info the request, valid as long as the object
     * @param clock monotonic clock
     */
    RequestClaim(const ClaimPorts *ports, const RequestInfo &info, const Clock &clock);

    /**
     * Called just before each attempt. The first call makes the claim.
     * @return nothing if the attempt must start now, or what the caller is told instead.
     */
    std::optional<RequestOutcome> beginAttempt();
    void attemptEnded(const AttemptResult &result);

    /**
     * Called once with the outcome, before the caller is told. Records an answer, and releases the
     * claim of a request that surely did not run. Both are done once, without a repeat: a record
     * that is lost leaves "already accepted" for repeats, and so does a release that is lost.
     */
    void settle(const RequestOutcome &outcome);

private:
    void acquire();

    const ClaimPorts *m_ports;
    const RequestInfo &m_info;
    const Clock &m_clock;
    const bool m_needed;
    std::optional<ClaimMachine> m_machine;
};

} // namespace Sapphireladder
