#include "Process/Loop/ProcessLoop.h"

#include <algorithm>
#include <vector>

namespace Sapphireladder {

namespace {

/** Part of the sessions that is closed at once, so that a flood of connections does not search all
 * sessions for each. */
constexpr std::size_t shedDivisor = 64;
/** Descriptors for files, listeners, the store, other VMs and the status endpoints. */
constexpr std::size_t otherDescriptors = 64;

} // namespace

bool SessionPool::accept(TcpSocket socket, RequestHandler &handler)
{
    if (m_sessions.size() >= m_maxSessions && !shed())
        return false;
    auto session = std::make_shared<CallerSession>(m_context, std::move(socket), handler, *this);
    m_sessions.insert(session);
    session->start();
    return true;
}

bool SessionPool::shed()
{
    std::vector<std::shared_ptr<CallerSession>> candidates;
    for (const auto &it : m_sessions) {
        if (it->isSheddable())
            candidates.push_back(it);
    }
    const auto count = std::min(candidates.size(),
                                std::max<std::size_t>(1, m_maxSessions / shedDivisor));
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(candidates.begin(), end, candidates.end(),
                      [](const auto &a, const auto &b) { return a->activeAt() < b->activeAt(); });
    std::for_each(candidates.begin(), end, [](const auto &it) { it->close(); });
    m_shedCount += count;
    return count > 0;
}

void SessionPool::sessionEnded(const std::shared_ptr<CallerSession> &session)
{
    m_sessions.erase(session);
}

std::size_t callerConnectionLimit(std::size_t maxConnections, std::size_t maxDescriptors)
{
    if (maxDescriptors == 0)
        return maxConnections;
    // The rest is for connections to targets: few callers have a request in work at a time.
    const auto share = (maxDescriptors - std::min(maxDescriptors, otherDescriptors)) / 4 * 3;
    return std::clamp<std::size_t>(share, 1, maxConnections);
}

} // namespace Sapphireladder
