#pragma once

#include "Connection/Http/CallerConnection.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>

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

    /** Stops accepting, lets requests in flight end and closes every connection. Then returns. */
    void stop();

    /** @return connections open now. */
    std::size_t connectionCount() const { return m_connectionCount; }

private:
    using Connection = std::unique_ptr<CallerConnection>;

    CallerListener(const ListenerOptions &options, TrafficService &service);
    void start(const Poco::Net::ServerSocket &socket);
    void pollLoop();
    void acceptOne();
    void dispatch(const Poco::Net::Socket &socket);
    void closeIdleConnections(Duration idleTimeout);
    void trafficLoop();
    Connection nextReady();
    void serve(Connection connection, RandomSource &random);
    void park(Connection connection);

    ListenerOptions m_options;
    TrafficService &m_service;
    Poco::Net::ServerSocket m_serverSocket;
    Poco::Net::PollSet m_pollSet;
    std::atomic<std::size_t> m_connectionCount{0};
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
