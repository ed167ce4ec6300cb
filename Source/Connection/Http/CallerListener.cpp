#include "Connection/Http/ConnectionHttp.h"

#include <Poco/Exception.h>

#include <sys/socket.h>

namespace Sapphireladder {

namespace {

/** How long the poll thread waits before it looks for idle connections to close. */
constexpr auto pollInterval = std::chrono::milliseconds(100);

Poco::Timespan toTimespan(Duration duration)
{
    return Poco::Timespan(duration_cast<std::chrono::microseconds>(duration).count());
}

/** Tells a caller beyond the connection limit that its request was not run. */
void refuseConnection(Poco::Net::StreamSocket &socket)
{
    static const std::string text = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
                                    "Sapphireladder-Outcome: not-run\r\n"
                                    "Sapphireladder-Reason: connection-limit\r\n"
                                    "Content-Length: 0\r\n\r\n";
    try {
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        socket.shutdownSend();
    } catch (const Poco::Exception &) {
        // The caller is gone already.
    }
}

} // namespace

Result<std::unique_ptr<CallerListener>> CallerListener::create(const ListenerOptions &options,
                                                               TrafficService &service)
{
    std::unique_ptr<CallerListener> listener(new CallerListener(options, service));
    try {
        const auto &endpoint = options.endpoint;
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(endpoint.host, endpoint.port), true);
        socket.listen(SOMAXCONN);
        listener->start(socket);
    } catch (const Poco::Exception &) {
        return makeError(ConnectionError::ListenFailed, options.endpoint.toString());
    }
    return listener;
}

CallerListener::CallerListener(const ListenerOptions &options, TrafficService &service)
    : m_options(options)
    , m_service(service)
{}

CallerListener::~CallerListener()
{
    stop();
}

void CallerListener::start(const Poco::Net::ServerSocket &socket)
{
    m_serverSocket = socket;
    m_pollSet.add(m_serverSocket, Poco::Net::PollSet::POLL_READ);
    m_pollThread = std::thread([this] { pollLoop(); });
    for (unsigned i = 0; i < m_options.trafficThreads; ++i)
        m_trafficThreads.emplace_back([this] { trafficLoop(); });
}

void CallerListener::stop()
{
    if (m_stopping.exchange(true))
        return;
    if (m_pollThread.joinable())
        m_pollThread.join();
    {
        const std::lock_guard lock(m_mutex);
        m_noMoreWork = true;
    }
    m_readyChanged.notify_all();
    for (auto &it : m_trafficThreads)
        it.join();
    m_idle.clear();
}

void CallerListener::pollLoop()
{
    while (!m_stopping) {
        const auto events = m_pollSet.poll(toTimespan(pollInterval));
        for (const auto &[socket, mode] : events) {
            if (socket == m_serverSocket)
                acceptOne();
            else
                dispatch(socket);
        }
        closeIdleConnections(m_options.idleTimeout);
    }
    // Connections that the kernel has accepted already still get their answer.
    while (m_serverSocket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
        acceptOne();
    m_pollSet.remove(m_serverSocket);
    m_serverSocket.close();
    for (const auto &[socket, mode] : m_pollSet.poll(toTimespan(pollInterval)))
        dispatch(socket);
}

void CallerListener::acceptOne()
{
    const int fd = ::accept4(m_serverSocket.impl()->sockfd(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
        return;
    auto *counter = new CountingSocketImpl(fd);
    Poco::Net::StreamSocket socket(counter);
    if (m_connectionCount >= m_options.maxConnections) {
        refuseConnection(socket);
        m_service.recordOutcome(Refusal{RefusalReason::ConnectionLimit}, Duration::zero());
        return;
    }
    counter->setNoDelay(true);
    ++m_connectionCount;
    park(std::make_unique<CallerConnection>(socket, counter, m_options.limits));
}

void CallerListener::dispatch(const Poco::Net::Socket &socket)
{
    m_pollSet.remove(socket);
    {
        const std::lock_guard lock(m_mutex);
        auto node = m_idle.extract(socket);
        if (node.empty())
            return;
        m_ready.push_back(std::move(node.mapped()));
    }
    m_readyChanged.notify_one();
}

void CallerListener::closeIdleConnections(Duration idleTimeout)
{
    const auto oldest = SteadyClock().now() - idleTimeout;
    const std::lock_guard lock(m_mutex);
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        if (it->second->idleSince() >= oldest) {
            ++it;
            continue;
        }
        m_pollSet.remove(it->first);
        it = m_idle.erase(it);
        --m_connectionCount;
    }
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
    m_readyChanged.wait(lock, [this] { return m_noMoreWork || !m_ready.empty(); });
    if (m_ready.empty())
        return nullptr;
    auto connection = std::move(m_ready.front());
    m_ready.pop_front();
    return connection;
}

void CallerListener::serve(Connection connection, RandomSource &random)
{
    do {
        if (!connection->serveOne(m_service, random)) {
            --m_connectionCount;
            return;
        }
    } while (connection->hasBufferedInput());
    park(std::move(connection));
}

void CallerListener::park(Connection connection)
{
    const Poco::Net::Socket socket = connection->socket();
    const std::lock_guard lock(m_mutex);
    m_idle.emplace(socket, std::move(connection));
    m_pollSet.add(socket, Poco::Net::PollSet::POLL_READ);
}

} // namespace Sapphireladder
