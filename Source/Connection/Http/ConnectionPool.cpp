#include "Connection/Http/ConnectionHttp.h"

#include <algorithm>

namespace Sapphireladder {

std::unique_ptr<UpstreamSession> ConnectionPool::acquire(const Endpoint &endpoint,
                                                         ReusePolicy reuse)
{
    while (auto session = popNewest(endpoint, reuse)) {
        // Checked without the lock, since it makes a system call.
        if (!session->hasUnexpectedInput())
            return session;
    }
    return nullptr;
}

ConnectionPool::Session ConnectionPool::popNewest(const Endpoint &endpoint, ReusePolicy reuse)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_targets.find(endpoint);
    if (it == m_targets.end())
        return nullptr;
    auto &idle = it->second.idle;
    if (idle.empty() || !canReuse(idle.back()->history(), reuse, m_clock.now()))
        return nullptr;
    auto session = std::move(idle.back());
    idle.pop_back();
    return session;
}

Result<std::unique_ptr<UpstreamSession>> ConnectionPool::open(const Endpoint &endpoint,
                                                              TimePoint deadline)
{
    std::shared_ptr<std::atomic<std::size_t>> count;
    {
        Session oldest;
        const std::lock_guard lock(m_mutex);
        auto &[idle, openConnections] = m_targets[endpoint];
        count = openConnections;
        if (*openConnections >= maxConnectionsPerTarget && !idle.empty()) {
            oldest = std::move(idle.front());
            idle.erase(idle.begin());
        }
    }
    TRY_ASSIGN(session, UpstreamSession::create(endpoint, deadline));
    session->trackOpenCount(std::move(count));
    return session;
}

void ConnectionPool::release(const Endpoint &endpoint, Session session)
{
    Session oldest;
    auto &history = session->history();
    history.lastResponseAt = m_clock.now();
    ++history.responseCount;
    const std::lock_guard lock(m_mutex);
    auto &[idle, openConnections] = m_targets[endpoint];
    idle.push_back(std::move(session));
    if (*openConnections > maxConnectionsPerTarget) {
        oldest = std::move(idle.front());
        idle.erase(idle.begin());
    }
}

void ConnectionPool::closeUnansweredSince(const Endpoint &endpoint, TimePoint time)
{
    std::vector<Session> unanswered;
    const std::lock_guard lock(m_mutex);
    auto &idle = m_targets[endpoint].idle;
    const auto firstUnanswered = std::stable_partition(
            idle.begin(), idle.end(),
            [time](const auto &it) { return it->history().lastResponseAt >= time; });
    std::move(firstUnanswered, idle.end(), std::back_inserter(unanswered));
    idle.erase(firstUnanswered, idle.end());
}

void ConnectionPool::closeExpired()
{
    std::vector<Session> expired;
    const auto now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        auto &idle = it->second.idle;
        const auto firstExpired = std::stable_partition(
                idle.begin(), idle.end(),
                [now](const auto &session) { return canKeep(session->history(), now); });
        std::move(firstExpired, idle.end(), std::back_inserter(expired));
        idle.erase(firstExpired, idle.end());
        // Without this, the entries of replaced targets would accumulate.
        it = idle.empty() && *it->second.openConnections == 0 ? m_targets.erase(it) : std::next(it);
    }
}

std::size_t ConnectionPool::openCount(const Endpoint &endpoint) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_targets.find(endpoint);
    return it == m_targets.end() ? 0 : it->second.openConnections->load();
}

} // namespace Sapphireladder
