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

/** How callers are served. */
struct ListenerOptions
{
    Endpoint endpoint;
    /** Threads that run one request each. */
    unsigned trafficThreads = 32;
    /** Connections of callers, idle ones included. */
    std::size_t maxConnections = 4096;
    /** Idle connections are closed after this time. */
    Duration idleTimeout = std::chrono::seconds(60);
    /**
     * Time that a connection must have been idle before a stop closes it. A request that is on its
     * way when its connection is closed would be cut.
     */
    Duration stopIdleTimeout = std::chrono::seconds(1);
    CallerLimits limits;
};

/**
 * Accepts callers' connections. One thread polls the idle ones; a readable one goes to a fixed set
 * of traffic threads, so that threads are bounded by requests in flight and not by connections.
 */
class CallerListener
{
public:
    /**
     * Starts listening.
     * @param options how to serve
     * @param service serves the requests and outlives the listener
     * @return the listener, or ConnectionError::ListenFailed.
     */
    static Result<std::unique_ptr<CallerListener>> create(const ListenerOptions &options,
                                                          TrafficService &service);
    ~CallerListener();

    /**
     * Stops in steps that cut no request: each further answer closes its connection, connections
     * are accepted for the stop's idle timeout, and idle ones are closed after it. Returns when
     * requests in flight have ended and every connection is closed.
     */
    void stop();

    /** @return connections open now. */
    std::size_t connectionCount() const { return m_connectionCount; }
    /** @return the address that it listens on. */
    Endpoint endpoint() const { return m_endpoint; }

private:
    using Connection = std::unique_ptr<CallerConnection>;

    CallerListener(const ListenerOptions &options, TrafficService &service);
    void start(std::unique_ptr<AcceptSocket> socket);
    void pollLoop();
    void sweep(TimePoint now);
    void acceptAll();
    void admit(int fd);
    void stopAccepting();
    void dispatch(const Poco::Net::Socket &socket);
    void closeIdleConnections(TimePoint now);
    TimePoint oldestIdleAllowed(TimePoint now) const;
    void trafficLoop();
    Connection nextReady();
    void serve(Connection connection, RandomSource &random);
    void park(Connection connection);

    ListenerOptions m_options;
    TrafficService &m_service;
    Endpoint m_endpoint;
    /** Null once no more connections are accepted. Used by the poll thread only. */
    std::unique_ptr<AcceptSocket> m_acceptSocket;
    Poco::Net::PollSet m_pollSet;
    LingeringSockets m_lingering;
    std::atomic<std::size_t> m_connectionCount{0};
    /** Written before m_stopping is set. */
    TimePoint m_stopStart;
    std::atomic<bool> m_stopping{false};

    std::mutex m_mutex;
    std::condition_variable m_readyChanged;
    std::deque<Connection> m_ready;
    std::map<Poco::Net::Socket, Connection> m_idle;
    bool m_noMoreWork = false;

    std::thread m_pollThread;
    std::vector<std::thread> m_trafficThreads;
};

} // namespace Sapphireladder
