#pragma once

#include "Core/Core.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Sapphireladder::Testbed {

/** A request that a test server received, with its response and connection. */
struct HttpExchangeContext
{
    Poco::Net::HTTPServerRequest &request;
    Poco::Net::HTTPServerResponse &response;
    Poco::Net::StreamSocket &socket;
    TimePoint connectionOpenedAt;
};

using HttpHandler = std::function<void(HttpExchangeContext &context)>;

/** The open connections of a TestHttpServer. */
class OpenConnections;

/** A small HTTP server for tests that passes every request to one handler. */
class TestHttpServer
{
public:
    /**
     * Starts listening.
     * @param endpoint address to listen on; port 0 selects a free port
     * @param handler called concurrently from one thread for each connection
     */
    TestHttpServer(const Endpoint &endpoint, HttpHandler handler);
    /** Closes every connection and waits for the handlers to return. */
    ~TestHttpServer();

    /** @return the address that the server listens on. */
    Endpoint endpoint() const;

private:
    std::shared_ptr<OpenConnections> m_connections;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

/** @return the complete body of the request. */
std::string readBody(Poco::Net::HTTPServerRequest &request);

/** Sends a complete response. */
void sendResponse(Poco::Net::HTTPServerResponse &response, unsigned status, std::string_view body);

/** Writes raw bytes to the connection, bypassing the HTTP response. */
void sendRaw(const HttpExchangeContext &context, std::string_view bytes);

/** Shuts the connection down after the data sent so far. */
void closeConnection(const HttpExchangeContext &context);

/** Closes the connection with a TCP reset, which discards data that the peer has not read. */
void resetConnection(const HttpExchangeContext &context);

} // namespace Sapphireladder::Testbed
