#pragma once

#include "Connection/Http/AcceptSocket.h"
#include "Connection/Http/CallerConnection.h"
#include "Connection/Http/LingeringSockets.h"

#include <Poco/Net/PollSet.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Sapphireladder {

/** Configuration of a CallerListener. */
struct ListenerOptions
{
    Endpoint endpoint;
    /** Number of traffic threads. Each runs one request at a time. */
    unsigned trafficThreads = 32;
    /** Maximum number of caller connections, including idle ones. */
    std::size_t maxConnections = 4096;
    /** Idle connections are closed after this time. */
    Duration idleTimeout = std::chrono::seconds(60);
    /**
     * Idle time after which a connection is closed while the listener stops. A request already in
     * transit when its connection is closed would be lost.
     */
    Duration stopIdleTimeout = std::chrono::seconds(1);
    CallerLimits limits;
};

/**
 * Accepts the connections of callers. One thread polls the idle connections and hands readable ones
 * to a fixed pool of traffic threads, so that the number of threads depends on the requests in
 * flight and not on the open connections.
 */
class CallerListener
{
public:
    /**
     * Starts listening.
     * @param service serves the requests; must outlive the listener
     * @return the listener, or ConnectionError::ListenFailed.
     */
    static Result<std::unique_ptr<CallerListener>> create(const ListenerOptions &options,
                                                          TrafficService &service);
    ~CallerListener();

    /**
     * Stops gracefully. From now on each response closes its connection. New connections are
     * accepted until stopIdleTimeout has passed; then connections idle for that time are closed.
     * Returns when all requests in flight have ended and all connections are closed.
     */
    void stop();

    /** @return the number of open connections. */
    std::size_t connectionCount() const { return m_connectionCount; }
    /** @return the address that it listens on. */
    Endpoint endpoint() const { return m_endpoint; }

private:
    using Connection = std::unique_ptr<CallerConnection>;

    CallerListener(const ListenerOptions &options, TrafficService &service);
    void start(std::unique_ptr<AcceptSocket> socket);
    void pollLoop();
    void runMaintenance(TimePoint now);
    void acceptAll();
    void admit(int fd);
    void stopAccepting();
    void dispatch(const Poco::Net::Socket &socket);
    void closeIdleConnections(TimePoint now);
    TimePoint idleCutoff(TimePoint now) const;
    void trafficLoop();
    Connection nextReady();
    void serve(Connection connection, RandomSource &random);
    void addIdle(Connection connection);

    ListenerOptions m_options;
    TrafficService &m_service;
    Endpoint m_endpoint;
    /** Null after accepting has stopped. Used by the poll thread only. */
    std::unique_ptr<AcceptSocket> m_acceptSocket;
    Poco::Net::PollSet m_pollSet;
    LingeringSockets m_lingering;
    std::atomic<std::size_t> m_connectionCount{0};
    /** Set before m_isStopping becomes true. */
    TimePoint m_stopStartedAt;
    std::atomic<bool> m_isStopping{false};

    std::mutex m_mutex;
    std::condition_variable m_readyChanged;
    std::deque<Connection> m_ready;
    std::map<Poco::Net::Socket, Connection> m_idle;
    bool m_isReadyQueueClosed = false;

    std::thread m_pollThread;
    std::vector<std::thread> m_trafficThreads;
};

} // namespace Sapphireladder
