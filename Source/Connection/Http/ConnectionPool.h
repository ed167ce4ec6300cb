#pragma once

#include "Connection/Http/UpstreamSession.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace Sapphireladder {

/** Pool of idle connections to targets. Safe for use by several threads. */
class ConnectionPool
{
public:
    /** @param clock must outlive the pool */
    explicit ConnectionPool(const Clock &clock)
        : m_clock(clock)
    {}

    /**
     * Takes an idle connection that the policy allows to reuse. Connections found unusable are
     * closed.
     * @return the connection, or null if a new one is needed.
     */
    std::unique_ptr<UpstreamSession> acquire(const Endpoint &endpoint, ReusePolicy reuse);

    /**
     * Opens a connection and counts it. If the target already has maxConnectionsPerTarget, the
     * connection that has been idle longest is closed.
     */
    Result<std::unique_ptr<UpstreamSession>> open(const Endpoint &endpoint, TimePoint deadline);

    /** Returns a connection to the pool after a complete response. */
    void release(const Endpoint &endpoint, std::unique_ptr<UpstreamSession> session);

    /** Closes the target's idle connections without a response since `time`. */
    void closeUnansweredSince(const Endpoint &endpoint, TimePoint time);

    /** Closes connections that exceed their idle time or age, for all targets. */
    void closeExpired();

    /** @return the number of open connections to the target, including those in use. */
    std::size_t openCount(const Endpoint &endpoint) const;

private:
    using Session = std::unique_ptr<UpstreamSession>;

    struct TargetConnections
    {
        /** Ordered by the time of the last response, newest at the back. */
        std::vector<Session> idle;
        std::shared_ptr<std::atomic<std::size_t>> openConnections =
                std::make_shared<std::atomic<std::size_t>>(0);
    };

    Session popNewest(const Endpoint &endpoint, ReusePolicy reuse);

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::map<Endpoint, TargetConnections> m_targets;
};

} // namespace Sapphireladder
