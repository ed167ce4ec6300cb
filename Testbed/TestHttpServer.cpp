#include "Testbed/Testbed.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <condition_variable>
#include <istream>
#include <list>
#include <mutex>

namespace Sapphireladder::Testbed {

/** Tracks open connections, so that stopping the server unblocks threads that wait for input. */
class OpenConnections
{
public:
    using Position = std::list<Poco::Net::StreamSocket>::iterator;

    explicit OpenConnections(HttpHandler handler)
        : m_handler(std::move(handler))
    {}

    Position add(const Poco::Net::StreamSocket &socket)
    {
        const std::lock_guard lock(m_mutex);
        return m_sockets.insert(m_sockets.end(), socket);
    }

    void remove(Position position)
    {
        const std::lock_guard lock(m_mutex);
        m_sockets.erase(position);
        m_removed.notify_all();
    }

    bool isStopped()
    {
        const std::lock_guard lock(m_mutex);
        return m_stopped;
    }

    void handle(HttpExchangeContext &context) const { m_handler(context); }

    /** Closes every connection and waits until the last one was removed. */
    void stop()
    {
        std::unique_lock lock(m_mutex);
        m_stopped = true;
        for (auto &it : m_sockets) {
            // Unblocks the connection's thread, which closes the descriptor itself.
            if (it.impl()->initialized())
                ::shutdown(it.impl()->sockfd(), SHUT_RDWR);
        }
        m_removed.wait(lock, [this] { return m_sockets.empty(); });
    }

private:
    const HttpHandler m_handler;
    std::mutex m_mutex;
    std::condition_variable m_removed;
    std::list<Poco::Net::StreamSocket> m_sockets;
    bool m_stopped = false;
};

namespace {

/** Maximum number of concurrent connections, each of which needs a thread. */
constexpr int maxThreads = 1024;

Poco::Net::HTTPServerParams::Ptr serverParams()
{
    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(maxThreads);
    params->setMaxQueued(1024);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setKeepAliveTimeout(Poco::Timespan(60, 0));
    return params;
}

/** A connection that passes its requests to the handler one after the other. */
class TestHttpConnection final : public Poco::Net::TCPServerConnection
{
public:
    TestHttpConnection(const Poco::Net::StreamSocket &socket,
                       std::shared_ptr<OpenConnections> connections)
        : TCPServerConnection(socket)
        , m_connections(std::move(connections))
    {}

    void run() override
    {
        const auto position = m_connections->add(socket());
        try {
            serveRequests();
        } catch (const Poco::Exception &) {
            // The peer closed the connection or did not send valid HTTP.
        }
        m_connections->remove(position);
    }

private:
    void serveRequests()
    {
        const auto openedAt = SteadyClock().now();
        Poco::Net::HTTPServerSession session(socket(), serverParams());
        while (!m_connections->isStopped() && session.hasMoreRequests()) {
            Poco::Net::HTTPServerResponseImpl response(session);
            Poco::Net::HTTPServerRequestImpl request(response, session, nullptr);
            response.setVersion(request.getVersion());
            response.setKeepAlive(request.getKeepAlive());
            HttpExchangeContext context{request, response, session.socket(), openedAt};
            m_connections->handle(context);
            session.setKeepAlive(response.getKeepAlive());
        }
    }

    std::shared_ptr<OpenConnections> m_connections;
};

class TestHttpConnectionFactory final : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit TestHttpConnectionFactory(std::shared_ptr<OpenConnections> connections)
        : m_connections(std::move(connections))
    {}

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new TestHttpConnection(socket, m_connections);
    }

private:
    std::shared_ptr<OpenConnections> m_connections;
};

Poco::ThreadPool &serverThreads()
{
    static Poco::ThreadPool pool(2, maxThreads);
    return pool;
}

} // namespace

TestHttpServer::TestHttpServer(const Endpoint &endpoint, HttpHandler handler)
    : m_connections(std::make_shared<OpenConnections>(std::move(handler)))
{
    Poco::Net::ServerSocket socket;
    // With reusePort false: by default POCO lets another process listen on the same port.
    socket.bind(Poco::Net::SocketAddress(endpoint.host, endpoint.port), true, false);
    socket.listen(1024);
    m_server = std::make_unique<Poco::Net::TCPServer>(new TestHttpConnectionFactory(m_connections),
                                                      serverThreads(), socket, serverParams());
    m_server->start();
}

TestHttpServer::~TestHttpServer()
{
    m_server->stop();
    m_connections->stop();
}

Endpoint TestHttpServer::endpoint() const
{
    const auto &address = m_server->socket().address();
    return {address.host().toString(), address.port()};
}

std::string readBody(Poco::Net::HTTPServerRequest &request)
{
    std::string body;
    char buf[16384];
    auto &stream = request.stream();
    while (stream.read(buf, sizeof buf), stream.gcount() > 0)
        body.append(buf, static_cast<std::size_t>(stream.gcount()));
    return body;
}

void sendResponse(Poco::Net::HTTPServerResponse &response, unsigned status, std::string_view body)
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.sendBuffer(body.data(), body.size());
}

void sendRaw(const HttpExchangeContext &context, std::string_view bytes)
{
    while (!bytes.empty()) {
        const int n = context.socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
}

void closeConnection(const HttpExchangeContext &context)
{
    context.response.setKeepAlive(false);
    ::shutdown(context.socket.impl()->sockfd(), SHUT_RDWR);
}

void resetConnection(const HttpExchangeContext &context)
{
    context.response.setKeepAlive(false);
    context.socket.setLinger(true, 0);
    context.socket.close();
}

} // namespace Sapphireladder::Testbed
