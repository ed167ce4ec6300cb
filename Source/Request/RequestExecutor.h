#pragma once

#include "Request/RequestClaim.h"
#include "Request/RequestPorts.h"
#include "Request/RetryDecision.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Sapphireladder {

/** Dependencies of a RequestExecutor. All outlive it. */
struct RequestPorts
{
    TargetGate &gate;
    AttemptTransport &transport;
    RetryTokens &tokens;
    RequestObserver &observer;
    const Clock &clock;
    /** If null, every request that needs a claim is refused. */
    const ClaimPorts *claims = nullptr;
};

/** Takes one request from admission to its outcome. Lives for the request, on one thread. */
class RequestExecutor
{
public:
    /**
     * @param ports dependencies
     * @param policy the service's policy, valid for the request
     */
    RequestExecutor(const RequestPorts &ports, const ServicePolicy &policy);

    /**
     * Runs the request, with as many attempts as the policy allows.
     * @return the response, a refusal if no target ran the request, or why that is unknown.
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
    /** Set once an attempt ended without proof that the target did not run the request. */
    std::optional<Unknown> m_mayHaveRun;
    std::vector<TargetId> m_tried;
};

} // namespace Sapphireladder
