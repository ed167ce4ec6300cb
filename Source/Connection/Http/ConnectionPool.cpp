#include "Connection/Http/ConnectionHttp.h"

#include <algorithm>

namespace Sapphireladder {

std::unique_ptr<UpstreamSession> ConnectionPool::take(const Endpoint &endpoint, bool idempotent)
{
    // Closed after the lock is given back.
    Sessions unusable;
    const std::lock_guard lock(m_mutex);
    auto &sessions = m_idle[endpoint];
    while (!sessions.empty()) {
        // The newest answer is at the back, and is the likeliest to be alive.
        auto session = std::move(sessions.back());
        sessions.pop_back();
        const auto now = m_clock.now();
        if (!mayKeep(session->record(), now) || session->hasUnexpectedInput()) {
            unusable.push_back(std::move(session));
            continue;
        }
        if (mayReuse(session->record(), idempotent, now))
            return session;
        sessions.push_back(std::move(session));
        return nullptr;
    }
    return nullptr;
}

void ConnectionPool::give(const Endpoint &endpoint, std::unique_ptr<UpstreamSession> session)
{
    auto &record = session->record();
    record.lastAnswerAt = m_clock.now();
    ++record.answers;
    const std::lock_guard lock(m_mutex);
    m_idle[endpoint].push_back(std::move(session));
}

void ConnectionPool::dropSilentSince(const Endpoint &endpoint, TimePoint time)
{
    Sessions dropped;
    const std::lock_guard lock(m_mutex);
    auto &sessions = m_idle[endpoint];
    const auto firstDropped = std::stable_partition(
            sessions.begin(), sessions.end(),
            [time](const auto &it) { return it->record().lastAnswerAt >= time; });
    std::move(firstDropped, sessions.end(), std::back_inserter(dropped));
    sessions.erase(firstDropped, sessions.end());
}

} // namespace Sapphireladder
