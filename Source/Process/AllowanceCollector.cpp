#include "Process/Process.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

/** Answers kept at most. Beyond it the oldest are forgotten, and a repetition takes tokens again.
 */
constexpr std::size_t maxAnswers = 20'000;

} // namespace

void AllowanceCollector::setWorkspaces(std::span<const Workspace> workspaces,
                                       const AllowancePolicy &policy, TimePoint now)
{
    m_pool.setWorkspaces(workspaces, policy, now);
    m_promisedUntil.clear();
}

DelegateAnswer AllowanceCollector::delegate(const DelegateMessage &message, TimePoint now)
{
    prune(now);
    auto &last = m_lastMessages[message.key];
    if (message.sequence > last.sequence) {
        last = {message.sequence, now};
        const TimePoint statedAt(message.collectorTime);
        const bool isValid = message.collector == m_id && statedAt <= now && message.share > 0
                             && message.share <= 1;
        if (isValid)
            m_pool.setShare(message.key, message.share, statedAt + delegationTime, now);
        else
            m_pool.removeShare(message.key, now);
    }
    return {message.key.slot, message.sequence, m_id, now.time_since_epoch()};
}

TokenAnswer AllowanceCollector::grant(const TokenRequest &request, TimePoint now)
{
    prune(now);
    const RequestKey key{request.sender, request.id};
    if (const auto known = m_answers.find(key); known != m_answers.end())
        return known->second;
    TokenAnswer answer;
    answer.id = request.id;
    answer.count = m_pool.take(request.workspace, request.count, now);
    if (answer.count < request.count) {
        answer.emptyFor = m_pool.timeToTokens(request.workspace, 1, now);
        answer.retryAfter = promiseRetry(request, request.count - answer.count, now);
    }
    m_answers.emplace(key, answer);
    m_answerTimes.emplace_back(now, key);
    return answer;
}

Duration AllowanceCollector::promiseRetry(const TokenRequest &request, unsigned refused,
                                          TimePoint now)
{
    // Those that were refused are told different times, so that they do not return at once.
    auto &until = m_promisedUntil[request.workspace];
    const auto first = m_pool.timeToTokens(request.workspace, 1, now);
    const auto perToken = m_pool.timeToTokens(request.workspace, 2, now) - first;
    until = std::max(until, now + first) + perToken * refused;
    until = std::min(until, now + AllowancePool::maxWait);
    return until - now;
}

void AllowanceCollector::prune(TimePoint now)
{
    while (!m_answerTimes.empty()
           && (now - m_answerTimes.front().first > answerRetention
               || m_answerTimes.size() > maxAnswers)) {
        m_answers.erase(m_answerTimes.front().second);
        m_answerTimes.pop_front();
    }
    if (now - m_prunedAt < delegationTime)
        return;
    m_prunedAt = now;
    // A message that arrives later than this states a time at which its share has expired.
    std::erase_if(m_lastMessages,
                  [now](const auto &it) { return now - it.second.receivedAt > delegationTime; });
}

} // namespace Sapphireladder
