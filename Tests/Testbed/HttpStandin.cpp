#include "Testbed/Testbed.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <istream>

namespace Sapphireladder::Testbed {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/** A thread for each connection; enough for the connections of a test. */
constexpr int maxThreads = 512;

class Handler final : public Poco::Net::HTTPRequestHandler
{
public:
    explicit Handler(const HttpHandler &handler)
        : m_handler(handler)
    {}
    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        m_handler(request, response);
    }

private:
    const HttpHandler &m_handler;
};

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit HandlerFactory(HttpHandler handler)
        : m_handler(std::move(handler))
    {}
    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new Handler(m_handler);
    }

private:
    HttpHandler m_handler;
};

Poco::ThreadPool &serverThreads()
{
    static Poco::ThreadPool pool(2, maxThreads);
    return pool;
}

} // namespace

HttpStandin::HttpStandin(const Endpoint &endpoint, HttpHandler handler)
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(endpoint.host, endpoint.port), true);
    socket.listen(1024);
    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(maxThreads);
    params->setMaxQueued(1024);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setKeepAliveTimeout(Poco::Timespan(60, 0));
    m_server = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(std::move(handler)),
                                                       serverThreads(), socket, params);
    m_server->start();
}

HttpStandin::~HttpStandin()
{
    m_server->stopAll(true);
}

Endpoint HttpStandin::endpoint() const
{
    const auto &address = m_server->socket().address();
    return {address.host().toString(), address.port()};
}

std::string readBody(HTTPServerRequest &request)
{
    std::string body;
    char buf[16384];
    auto &stream = request.stream();
    while (stream.read(buf, sizeof buf), stream.gcount() > 0)
        body.append(buf, static_cast<std::size_t>(stream.gcount()));
    return body;
}

void sendAnswer(HTTPServerResponse &response, unsigned status, std::string_view body)
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.sendBuffer(body.data(), body.size());
}

} // namespace Sapphireladder::Testbed
