#pragma once

#include "Connection/Http/UpstreamSession.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace Sapphireladder {

/** Idle connections to targets, shared by the traffic threads. */
class ConnectionPool
{
public:
    /** @param clock outlives the pool */
    explicit ConnectionPool(const Clock &clock)
        : m_clock(clock)
    {}

    /**
     * Takes an idle connection that the request may go on. Connections that must not be used any
     * more are closed on the way.
     * @return the connection, or null if a new one is needed.
     */
    std::unique_ptr<UpstreamSession> take(const Endpoint &endpoint, bool idempotent);

    /** Keeps a connection whose last answer was whole. */
    void give(const Endpoint &endpoint, std::unique_ptr<UpstreamSession> session);

    /** Closes the target's idle connections that have had no answer since `time`. */
    void dropSilentSince(const Endpoint &endpoint, TimePoint time);

private:
    using Sessions = std::vector<std::unique_ptr<UpstreamSession>>;

    const Clock &m_clock;
    std::mutex m_mutex;
    std::map<Endpoint, Sessions> m_idle;
};

} // namespace Sapphireladder
