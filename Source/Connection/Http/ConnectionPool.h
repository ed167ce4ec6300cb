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
    std::unique_ptr<UpstreamSession> take(const Endpoint &endpoint, Reuse reuse);

    /**
     * Opens a connection and counts it. Closes the target's longest idle one if there are
     * maxConnectionsPerTarget.
     */
    Result<std::unique_ptr<UpstreamSession>> open(const Endpoint &endpoint, TimePoint deadline);

    /** Keeps a connection whose last answer was whole. */
    void give(const Endpoint &endpoint, std::unique_ptr<UpstreamSession> session);

    /** Closes the target's idle connections that have had no answer since `time`. */
    void dropSilentSince(const Endpoint &endpoint, TimePoint time);

    /** Closes connections that were idle too long, also of targets that get no more requests. */
    void closeExpired();

    /** @return open connections to the target, those in use included. */
    std::size_t openCount(const Endpoint &endpoint) const;

private:
    using Session = std::unique_ptr<UpstreamSession>;

    struct TargetConnections
    {
        /** The one with the newest answer is at the back. */
        std::vector<Session> idle;
        std::shared_ptr<std::atomic<std::size_t>> open = std::make_shared<std::atomic<std::size_t>>(
                0);
    };

    Session popNewest(const Endpoint &endpoint, Reuse reuse);

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::map<Endpoint, TargetConnections> m_targets;
};

} // namespace Sapphireladder
