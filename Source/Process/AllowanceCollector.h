#pragma once

#include "Process/AllowanceMessages.h"

#include <deque>
#include <map>
#include <utility>

namespace Sapphireladder {

/**
 * Grants tokens from the shares that VMs delegated to this VM. Every VM has a collector; the
 * others decide whether they use it. Any number may exist at once, since each share is in one
 * place at a time. Used by the control thread only.
 */
class AllowanceCollector
{
public:
    /** How long answers are kept for repetitions of a request. */
    static constexpr Duration answerRetention = std::chrono::seconds(1);

    /** @param id random number of this process */
    explicit AllowanceCollector(std::uint64_t id)
        : m_id(id)
    {}

    void setWorkspaces(std::span<const Workspace> workspaces, const AllowancePolicy &policy,
                       TimePoint now);
    DelegateAnswer delegate(const DelegateMessage &message, TimePoint now);
    TokenAnswer grant(const TokenRequest &request, TimePoint now);
    /** @return the sum of the shares that VMs delegated to this one. */
    double liveShare(TimePoint now) { return m_pool.liveShare(now); }

private:
    /** Last message about a share, so that delayed earlier ones are recognized. */
    struct LastMessage
    {
        std::uint64_t sequence = 0;
        TimePoint receivedAt{};
    };
    using RequestKey = std::pair<std::uint64_t, std::uint64_t>;

    void prune(TimePoint now);
    Duration promiseRetry(const TokenRequest &request, unsigned refused, TimePoint now);

    const std::uint64_t m_id;
    AllowancePool m_pool;
    std::map<AllowanceShareKey, LastMessage> m_lastMessages;
    std::map<RequestKey, TokenAnswer> m_answers;
    std::deque<std::pair<TimePoint, RequestKey>> m_answerTimes;
    /** Requests that were told to come back, by workspace, and when the last of them does. */
    std::map<std::string, TimePoint, std::less<>> m_promisedUntil;
    TimePoint m_prunedAt{};
};

} // namespace Sapphireladder
