#pragma once

#include "Connection/Loop/ConnectionLoop.h"

#include <cstdint>
#include <memory>
#include <unordered_set>

namespace Sapphireladder {

/**
 * The connections of one listener, up to a limit. At the limit, those that have sent or taken
 * nothing for the longest time give way to new ones: a crowd of idle connections keeps nobody out.
 */
class SessionPool final : public SessionRegistry
{
public:
    using Sessions = std::unordered_set<std::shared_ptr<CallerSession>>;

    /** @param context must outlive the pool */
    SessionPool(LoopContext &context, std::size_t maxSessions)
        : m_context(context)
        , m_maxSessions(maxSessions)
    {}

    /**
     * Starts a session on the connection.
     * @param handler must outlive the session
     * @return false if the limit is reached and all sessions serve requests.
     */
    bool accept(TcpSocket socket, RequestHandler &handler);
    /**
     * Closes the sessions that were inactive for the longest time and serve no request.
     * @return whether there was any.
     */
    bool shed();

    const Sessions &sessions() const { return m_sessions; }
    std::size_t size() const { return m_sessions.size(); }
    std::size_t maxSessions() const { return m_maxSessions; }
    /** @return the number of sessions that gave way to new ones. */
    std::uint64_t shedCount() const { return m_shedCount; }

    void sessionEnded(const std::shared_ptr<CallerSession> &session) override;

private:
    LoopContext &m_context;
    const std::size_t m_maxSessions;
    Sessions m_sessions;
    std::uint64_t m_shedCount = 0;
};

/**
 * @param maxConnections limit of the settings
 * @param maxDescriptors limit of the process; 0 if unknown
 * @return maximum number of callers' connections.
 */
std::size_t callerConnectionLimit(std::size_t maxConnections, std::size_t maxDescriptors);

} // namespace Sapphireladder
