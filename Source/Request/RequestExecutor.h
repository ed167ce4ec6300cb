#pragma once

#include "Request/RequestClaim.h"
#include "Request/RequestPorts.h"
#include "Request/RetryDecision.h"

#include <span>
#include <string_view>
#include <vector>

namespace Sapphireladder {

/** The collaborators of a RequestExecutor. They outlive it. */
struct RequestPorts
{
    TargetGate &gate;
    AttemptTransport &transport;
    RetryTokens &tokens;
    RequestObserver &observer;
    const Clock &clock;
    /** Null refuses every request that needs a claim. */
    const ClaimPorts *claims = nullptr;
};

/** Takes one request from admission to its outcome. Lives for the request, on one thread. */
class RequestExecutor
{
public:
    /**
     * @param ports collaborators
     * @param policy the service's policy, valid for the request
     */
    RequestExecutor(const RequestPorts &ports, const ServicePolicy &policy);

    /**
     * Runs the request, with as many attempts as the policy allows.
     * @return the answer, a refusal if no target ran it, or why its fate is not known.
     */
    RequestOutcome run(const RequestInfo &info, std::span<const HeaderField> headers,
                       std::string_view body);

private:
    RequestOutcome runAttempts(const RequestInfo &info, std::span<const HeaderField> headers,
                               std::string_view body, RequestClaim &claim);
    AttemptResult attemptOnce(const TargetLease &lease, const AttemptRequest &request);
    bool mayRetry(const RequestInfo &info, const FailedAttempt &failure);

    RequestPorts m_ports;
    const ServicePolicy &m_policy;
    unsigned m_attempts = 0;
    std::vector<TargetId> m_tried;
};

} // namespace Sapphireladder
