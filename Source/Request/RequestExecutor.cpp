#include "Request/Request.h"

namespace Sapphireladder {

namespace {

RequestOutcome outcomeOf(AttemptResult result)
{
    if (auto *answered = std::get_if<Answered>(&result.outcome))
        return std::move(answered->response);
    if (const auto *notRun = std::get_if<NotRun>(&result.outcome)) {
        return Refusal{notRun->reason == RetryReason::Shed ? RefusalReason::TargetShed
                                                           : RefusalReason::TargetUnreachable};
    }
    return std::get<Unknown>(result.outcome);
}

} // namespace

RequestExecutor::RequestExecutor(const RequestDependencies &dependencies,
                                 const ServicePolicy &policy)
    : m_dependencies(dependencies)
    , m_policy(policy)
{}

RequestOutcome RequestExecutor::run(const RequestInfo &info, std::span<const HeaderField> headers,
                                    std::string_view body)
{
    if (m_dependencies.clock.now() >= info.deadline)
        return Refusal{RefusalReason::DeadlineExpired};
    m_dependencies.tokens.recordFirstAttempt();
    RequestClaim claim(m_dependencies.claims, info, m_dependencies.clock);
    auto outcome = runAttempts(info, headers, body, claim);
    // An earlier attempt may have run the request, so a refusal ("not run") would be wrong.
    if (m_mayHaveRun && std::holds_alternative<Refusal>(outcome))
        outcome = *m_mayHaveRun;
    claim.settle(outcome);
    return outcome;
}

RequestOutcome RequestExecutor::runAttempts(const RequestInfo &info,
                                            std::span<const HeaderField> headers,
                                            std::string_view body, RequestClaim &claim)
{
    std::optional<RequestOutcome> lastOutcome;
    while (true) {
        const auto admission = m_dependencies.slotAllocator.acquire(info, m_triedTargets);
        if (const auto *reason = std::get_if<RefusalReason>(&admission))
            return lastOutcome ? std::move(*lastOutcome) : Refusal{*reason};
        const auto &lease = std::get<TargetLease>(admission);
        if (auto outcome = claim.beginAttempt()) {
            m_dependencies.slotAllocator.cancel(lease);
            return std::move(*outcome);
        }
        auto result = attemptOnce(lease,
                                  {info, *lease.target, m_policy, headers, body, m_attemptCount});
        claim.attemptEnded(result);
        const auto failure = failureOf(result);
        m_triedTargets.push_back(lease.target->id);
        if (!failure || !shouldRetry(info, *failure))
            return outcomeOf(std::move(result));
        lastOutcome = outcomeOf(std::move(result));
    }
}

AttemptResult RequestExecutor::attemptOnce(const TargetLease &lease, const AttemptRequest &request)
{
    ++m_attemptCount;
    const auto start = m_dependencies.clock.now();
    auto result = m_dependencies.transport.attempt(request);
    result.latency = m_dependencies.clock.now() - start;
    m_dependencies.slotAllocator.release(lease, result);
    if (const auto *unknown = std::get_if<Unknown>(&result.outcome))
        m_mayHaveRun = *unknown;
    return result;
}

bool RequestExecutor::shouldRetry(const RequestInfo &info, const FailedAttempt &failure)
{
    const RetryContext context{
            info, m_policy.retry, m_attemptCount, m_dependencies.clock.now(), {}};
    const auto decision = decideRetry(failure, context, m_dependencies.tokens);
    if (const auto *denial = std::get_if<RetryDenial>(&decision)) {
        m_dependencies.observer.retryDenied(*denial);
        return false;
    }
    m_dependencies.observer.retried(std::get<RetryReason>(decision));
    return true;
}

} // namespace Sapphireladder
