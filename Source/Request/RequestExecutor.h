#pragma once

#include "Request/RequestClaim.h"
#include "Request/RequestInterfaces.h"
#include "Request/RetryDecision.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Sapphireladder {

/** Dependencies of a RequestExecutor. All outlive it. */
struct RequestDependencies
{
    TargetSlotAllocator &slotAllocator;
    AttemptTransport &transport;
    RetryTokens &tokens;
    RequestObserver &observer;
    const Clock &clock;
    /** If null, every request that needs a claim is refused. */
    const ClaimDependencies *claims = nullptr;
};

/** Takes one request from admission to its outcome. Lives for the request, on one thread. */
class RequestExecutor
{
public:
    /** @param policy the service's policy, valid for the request */
    RequestExecutor(const RequestDependencies &dependencies, const ServicePolicy &policy);

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
    bool shouldRetry(const RequestInfo &info, const FailedAttempt &failure);

    RequestDependencies m_dependencies;
    const ServicePolicy &m_policy;
    unsigned m_attemptCount = 0;
    /** Set once an attempt ended without proof that the target did not run the request. */
    std::optional<Unknown> m_mayHaveRun;
    std::vector<TargetId> m_triedTargets;
};

} // namespace Sapphireladder
