#include "Connection/Http/ConnectionHttp.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

/** Interval between two checks for expired connections. */
constexpr auto maintenanceInterval = std::chrono::milliseconds(100);

Poco::Timespan toTimespan(Duration duration)
{
    return Poco::Timespan(duration_cast<std::chrono::microseconds>(duration).count());
}

} // namespace

Result<std::unique_ptr<CallerListener>> CallerListener::create(const ListenerOptions &options,
                                                               TrafficService &service)
{
    TRY_ASSIGN(socket, AcceptSocket::create(options.endpoint));
    std::unique_ptr<CallerListener> listener(new CallerListener(options, service));
    listener->start(std::move(socket));
    return listener;
}

CallerListener::CallerListener(const ListenerOptions &options, TrafficService &service)
    : m_options(options)
    , m_service(service)
    , m_lingering(m_pollSet)
{}

CallerListener::~CallerListener()
{
    stop();
}

void CallerListener::start(std::unique_ptr<AcceptSocket> socket)
{
    m_endpoint = socket->endpoint();
    m_acceptSocket = std::move(socket);
    m_pollThread = std::thread([this] { pollLoop(); });
    for (unsigned i = 0; i < m_options.trafficThreads; ++i)
        m_trafficThreads.emplace_back([this] { trafficLoop(); });
}

void CallerListener::stop()
{
    if (!m_pollThread.joinable())
        return;
    m_stopStartedAt = SteadyClock().now();
    m_isStopping = true;
    m_pollThread.join();
    {
        const std::lock_guard lock(m_mutex);
        m_isReadyQueueClosed = true;
    }
    m_readyChanged.notify_all();
    for (auto &it : m_trafficThreads)
        it.join();
}

void CallerListener::pollLoop()
{
    auto nextMaintenance = SteadyClock().now();
    while (m_acceptSocket || m_connectionCount > 0 || !m_lingering.isEmpty()) {
        if (SteadyClock().now() >= nextMaintenance) {
            runMaintenance(SteadyClock().now());
            nextMaintenance = SteadyClock().now() + maintenanceInterval;
        }
        // Polling an empty set returns at once.
        if (m_pollSet.empty())
            std::this_thread::sleep_until(nextMaintenance);
        for (const auto &[socket, mode] : m_pollSet.poll(toTimespan(maintenanceInterval))) {
            if (m_acceptSocket && socket == m_acceptSocket->socket())
                acceptAll();
            else if (!m_lingering.discardInput(socket))
                dispatch(socket);
        }
    }
}

void CallerListener::runMaintenance(TimePoint now)
{
    if (m_acceptSocket && m_isStopping && now - m_stopStartedAt >= m_options.stopIdleTimeout)
        stopAccepting();
    // acceptAll() removes the socket while descriptors or memory are exhausted.
    if (m_acceptSocket && !m_pollSet.has(m_acceptSocket->socket()))
        m_pollSet.add(m_acceptSocket->socket(), Poco::Net::PollSet::POLL_READ);
    closeIdleConnections(now);
    m_lingering.closeExpired();
    m_service.closeExpiredConnections();
}

void CallerListener::acceptAll()
{
    int fd = -1;
    auto accepted = m_acceptSocket->accept(fd);
    for (; accepted == AcceptSocket::AcceptResult::Connection;
         accepted = m_acceptSocket->accept(fd))
        admit(fd);
    if (accepted == AcceptSocket::AcceptResult::NoResources)
        m_pollSet.remove(m_acceptSocket->socket());
}

void CallerListener::admit(int fd)
{
    auto *socketImpl = new CountingSocketImpl(fd);
    const Poco::Net::StreamSocket socket(socketImpl);
    if (m_connectionCount >= m_options.maxConnections) {
        const Refusal refusal{RefusalReason::ConnectionLimit};
        // The poll thread must not block. The send buffer of a new connection has room for the
        // response.
        socketImpl->setDeadline(TimePoint::min());
        if (socketImpl->sendAll(encodeOutcome(refusal, {})))
            m_lingering.add(socket);
        m_service.recordOutcome(refusal, Duration::zero());
        return;
    }
    socketImpl->setNoDelay(true);
    ++m_connectionCount;
    addIdle(std::make_unique<CallerConnection>(socket, socketImpl, m_options.limits, m_isStopping));
}

void CallerListener::stopAccepting()
{
    // Handshakes in progress finish before the next run of runMaintenance(): a round trip to a
    // caller takes 16 ms.
    if (!m_acceptSocket->isIgnoringNewConnections()) {
        m_acceptSocket->ignoreNewConnections();
        return;
    }
    // Connections already in the accept queue are still served.
    acceptAll();
    if (m_pollSet.has(m_acceptSocket->socket()))
        m_pollSet.remove(m_acceptSocket->socket());
    m_acceptSocket.reset();
}

void CallerListener::dispatch(const Poco::Net::Socket &socket)
{
    {
        const std::lock_guard lock(m_mutex);
        auto node = m_idle.extract(socket);
        if (node.empty())
            return;
        m_pollSet.remove(socket);
        node.mapped()->setReadableSince(SteadyClock().now());
        m_ready.push_back(std::move(node.mapped()));
    }
    m_readyChanged.notify_one();
}

void CallerListener::closeIdleConnections(TimePoint now)
{
    const auto cutoff = idleCutoff(now);
    const std::lock_guard lock(m_mutex);
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        if (it->second->idleSince() >= cutoff) {
            ++it;
            continue;
        }
        m_pollSet.remove(it->first);
        m_lingering.add(it->second->socket());
        it = m_idle.erase(it);
        --m_connectionCount;
    }
}

TimePoint CallerListener::idleCutoff(TimePoint now) const
{
    const bool stopAll = m_isStopping && now - m_stopStartedAt >= m_options.stopIdleTimeout;
    return now - (stopAll ? m_options.stopIdleTimeout : m_options.idleTimeout);
}

void CallerListener::trafficLoop()
{
    auto random = RandomSource::fromSystem();
    while (auto connection = nextReady())
        serve(std::move(connection), random);
}

CallerListener::Connection CallerListener::nextReady()
{
    std::unique_lock lock(m_mutex);
    m_readyChanged.wait(lock, [this] { return m_isReadyQueueClosed || !m_ready.empty(); });
    if (m_ready.empty())
        return nullptr;
    auto connection = std::move(m_ready.front());
    m_ready.pop_front();
    return connection;
}

void CallerListener::serve(Connection connection, RandomSource &random)
{
    auto disposition = ConnectionDisposition::Keep;
    do {
        disposition = connection->serveRequest(m_service, random);
    } while (disposition == ConnectionDisposition::Keep && connection->hasBufferedInput());
    if (disposition == ConnectionDisposition::Keep) {
        addIdle(std::move(connection));
        return;
    }
    if (disposition == ConnectionDisposition::Close)
        m_lingering.add(connection->socket());
    --m_connectionCount;
}

void CallerListener::addIdle(Connection connection)
{
    const Poco::Net::Socket socket = connection->socket();
    const std::lock_guard lock(m_mutex);
    m_idle.emplace(socket, std::move(connection));
    m_pollSet.add(socket, Poco::Net::PollSet::POLL_READ);
}

} // namespace Sapphireladder
